#include "gateway/backend_reply.h"

#include <boost/beast/http/read.hpp>

#include <charconv>
#include <string_view>

namespace eelgrassgw {

namespace {

constexpr std::uint32_t max_head_bytes = 64U << 10U;

// A connection is discarded this much earlier than the server's own idle timeout would close it.
constexpr std::chrono::milliseconds server_close_margin{700};

/// Returns the timeout of a Keep-Alive header, such as 5 s for "timeout=5, max=100".
std::optional<std::chrono::seconds> parse_keep_alive_timeout(std::string_view keep_alive) {
    constexpr std::string_view name = "timeout=";
    const std::size_t name_start = keep_alive.find(name);
    int seconds = 0;
    if (name_start == std::string_view::npos) {
        return std::nullopt;
    }
    const char* first = keep_alive.data() + name_start + name.size();
    const auto parsed = std::from_chars(first, keep_alive.data() + keep_alive.size(), seconds);
    return parsed.ec == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

body_framing backend_reply::framing() const {
    if (parser_->chunked()) {
        return body_framing::chunked;
    }
    return parser_->need_eof() ? body_framing::connection_end : body_framing::length;
}

task<answer_kind> backend_reply::read_head(const head_classifier& classify) {
    for (int i = 0; i <= max_skipped_replies; ++i) {
        if (!co_await read_next_head()) {
            co_return answer_kind::invalid;
        }
        const bool interim = is_interim(head().result_int());
        const answer_kind kind = interim ? answer_kind::other_request : classify(head());
        if (kind != answer_kind::other_request) {
            co_return kind;
        }
        if (!interim) {
            skipped_statuses_.push_back(head().result_int());
        }
        if (framing() == body_framing::connection_end) {
            read_error_ = "a reply to another request ends with the connection";
            co_return answer_kind::invalid; // No other reply can follow it.
        }
        if (!co_await skip_body()) {
            co_return answer_kind::invalid;
        }
    }
    read_error_ = "too many replies to other requests";
    co_return answer_kind::invalid;
}

void backend_reply::note_failed_read(const char* step, net_error ec) {
    const bool ended = ec == http::error::end_of_stream || ec == http::error::partial_message;
    const bool failed = ec.category() == asio::error::get_system_category();
    connection_lost_ = ended || (failed && ec != asio::error::operation_aborted);
    read_error_ = std::string(step) + ": " + ec.message();
}

task<bool> backend_reply::read_next_head() {
    parser_.emplace();
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(boost::none);
    parser_->skip(head_only_);
    net_error ec;
    co_await http::async_read_header(upstream_.socket, upstream_.buffer, *parser_, with_error(ec));
    if (ec) {
        note_failed_read("reply head", ec);
    }
    co_return !ec;
}

task<bool> backend_reply::skip_body() {
    std::string skipped;
    for (std::size_t n = 0; n <= max_skipped_bytes; n += skipped.size()) {
        const body_state state = co_await read_body_piece(skipped);
        if (state == body_state::ended) {
            co_return find_end_fault(end()).empty();
        }
    }
    read_error_ = "the reply to another request is too large";
    co_return false;
}

task<backend_reply::body_state> backend_reply::read_body_piece(std::string& piece) {
    piece.clear();
    if (parser_->is_done()) {
        co_return body_state::ended;
    }
    auto& body = parser_->get().body();
    body.data = piece_buffer_.data();
    body.size = piece_buffer_.size();
    body.more = true;
    net_error ec;
    co_await http::async_read_some(upstream_.socket, upstream_.buffer, *parser_, with_error(ec));
    // The read parses one chunk. The others that have arrived with it need no further turn of the event loop.
    while (!ec && !parser_->is_done() && upstream_.buffer.size() > 0 && body.size > 0) {
        upstream_.buffer.consume(parser_->put(upstream_.buffer.data(), ec));
    }
    if (ec == http::error::need_more) {
        ec = {};
    }
    piece.assign(piece_buffer_.data(), piece_buffer_.size() - body.size);
    if (ec && ec != http::error::need_buffer) {
        note_failed_read("reply body", ec);
        co_return body_state::ended;
    }
    if (parser_->is_done() && framing() == body_framing::connection_end) {
        co_await note_connection_end();
    }
    co_return parser_->is_done() ? body_state::ended : body_state::more;
}

/// Finds out whether the connection ended in order. A reset during the upload is reported to the upload
/// alone.
task<void> backend_reply::note_connection_end() {
    co_await upload_.wait_for_end(max_reset_delay);
    upload_was_cut_ = upload_.was_cut();
    connection_lost_ = connection_lost_ || upload_was_cut_;
}

std::chrono::milliseconds backend_reply::reuse_time() const {
    const bool clean = parser_->is_done() && parser_->keep_alive() && upstream_.buffer.size() == 0;
    const bool sent_whole = !upload_.in_progress() && !upload_.error();
    if (!clean || !sent_whole || !skipped_statuses_.empty()) {
        return std::chrono::milliseconds(0);
    }
    const auto text = head()[http::field::keep_alive];
    const auto server_timeout = parse_keep_alive_timeout({text.data(), text.size()});
    return server_timeout.has_value() ? std::chrono::milliseconds(*server_timeout) - server_close_margin
                                      : connection_pool::default_reuse_time;
}

} // namespace eelgrassgw

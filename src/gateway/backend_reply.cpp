#include "gateway/backend_reply.h"

#include <boost/beast/http/read.hpp>

#include <charconv>
#include <string_view>

namespace eelgrassgw {

namespace {

constexpr std::uint32_t largest_head = 64U << 10U; // Bytes.
constexpr std::chrono::milliseconds before_server_closes{
    700}; // Safety margin to the server's own idle limit.

/// The seconds of "timeout=5, max=100".
std::optional<std::chrono::seconds> announced_timeout(std::string_view keep_alive) {
    constexpr std::string_view name = "timeout=";
    const std::size_t at = keep_alive.find(name);
    int seconds = 0;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const char* first = keep_alive.data() + at + name.size();
    const auto parsed = std::from_chars(first, keep_alive.data() + keep_alive.size(), seconds);
    return parsed.ec == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

task<answer_kind> backend_reply::read_head(const judgement& judge) {
    for (int i = 0; i <= most_foreign_replies; ++i) {
        if (!co_await read_next_head()) {
            co_return answer_kind::invalid;
        }
        const bool interim = head().result_int() < 200;
        const answer_kind kind = interim ? answer_kind::other_request : judge(head());
        if (kind != answer_kind::other_request) {
            co_return kind;
        }
        met_foreign_reply_ = met_foreign_reply_ || !interim;
        if (!co_await skip_body()) {
            co_return answer_kind::invalid;
        }
    }
    error_ = "too many replies to other requests";
    co_return answer_kind::invalid;
}

task<bool> backend_reply::read_next_head() {
    parser_.emplace();
    parser_->header_limit(largest_head);
    parser_->body_limit(boost::none);
    parser_->skip(head_only_);
    net_error ec;
    co_await http::async_read_header(from_.socket, from_.buffer, *parser_, with_error(ec));
    if (ec) {
        error_ = "reply head: " + ec.message();
    }
    co_return !ec;
}

task<bool> backend_reply::skip_body() {
    std::string ignored;
    for (;;) {
        const body_state state = co_await read_piece(ignored);
        if (state != body_state::more) {
            co_return state == body_state::complete;
        }
    }
}

task<backend_reply::body_state> backend_reply::read_piece(std::string& piece) {
    piece.clear();
    if (parser_->is_done()) {
        co_return body_state::complete;
    }
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    body.more = true;
    net_error ec;
    co_await http::async_read_some(from_.socket, from_.buffer, *parser_, with_error(ec));
    piece.assign(piece_.data(), piece_.size() - body.size);
    if (ec && ec != http::error::need_buffer) {
        error_ = "reply body: " + ec.message();
        co_return body_state::broken;
    }
    co_return parser_->is_done() ? body_state::complete : body_state::more;
}

std::chrono::milliseconds backend_reply::reusable_for() const {
    const bool clean = parser_->is_done() && parser_->keep_alive() && from_.buffer.size() == 0;
    if (!clean || met_foreign_reply_) {
        return std::chrono::milliseconds(0);
    }
    const auto text = head()[http::field::keep_alive];
    const auto announced = announced_timeout({text.data(), text.size()});
    return announced.has_value() ? std::chrono::milliseconds(*announced) - before_server_closes
                                 : default_keep;
}

} // namespace eelgrassgw

#include "eelgrassgw/transport/http_client.h"

#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/base/percent_encoding.h"
#include "net/reply_parser.h"
#include "transport/timed_connection.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace eelgrassgw {

namespace {

constexpr std::chrono::milliseconds fault_delay{1500};

/// Calls `send` and injects the fault that the failpoint of `request` selects. `T` is the type of the answer.
template <class T, class Send>
result<T> send_with_fault(const endpoint& peer, const http_request& request, Send send) {
    const failpoint_action action =
        request.failpoint_name.empty() ? failpoint_action::none : failpoint(request.failpoint_name.c_str());
    const std::string step = request.method + " " + request.path;
    const auto make_unknown_outcome = [&] {
        return make_failure(errc::outcome_unknown, step, peer.text(), "failpoint");
    };
    switch (action) {
    case failpoint_action::unreachable:
        return make_failure(errc::unreachable, step, peer.text(), "failpoint");
    case failpoint_action::lose_request:
        return make_unknown_outcome();
    case failpoint_action::lose_answer:
        (void)send();
        return make_unknown_outcome();
    case failpoint_action::late:
        std::thread([send] {
            std::this_thread::sleep_for(fault_delay);
            (void)send();
        }).detach();
        return make_unknown_outcome();
    case failpoint_action::twice: {
        result<T> first = send();
        (void)send();
        return first;
    }
    case failpoint_action::slow:
        std::this_thread::sleep_for(fault_delay);
        return send();
    default:
        return send();
    }
}

/// Hits the failpoint "<name>_answered" after the answer has arrived.
void hit_answered_failpoint(const http_request& request) {
    if (!request.failpoint_name.empty()) {
        failpoint((request.failpoint_name + "_answered").c_str());
    }
}

std::string& sender_name() {
    static std::string name;
    return name;
}

namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

http::request<http::string_body> to_beast_request(const endpoint& peer, const http_request& request) {
    const std::string query = request.query.empty() ? "" : "?" + request.query;
    http::request<http::string_body> beast_request;
    beast_request.version(11);
    beast_request.method_string(request.method);
    beast_request.target(percent_encode_path(request.path) + query);
    for (const auto& field : request.headers) {
        beast_request.set(field.first, field.second);
    }
    beast_request.set(http::field::host, peer.text());
    if (!sender_name().empty()) {
        beast_request.set("x-eelgrass-sender", sender_name());
    }
    beast_request.body() = request.body;
    beast_request.prepare_payload();
    return beast_request;
}

failure outcome_unknown_failure(const endpoint& peer, const http_request& request, const std::string& cause) {
    return make_failure(errc::outcome_unknown, request.method + " " + request.path, peer.text(), cause);
}

failure unreachable_failure(const endpoint& peer, const http_request& request, const std::string& cause) {
    return make_failure(errc::unreachable, "connect for " + request.method + " " + request.path, peer.text(),
                        cause);
}

http_response to_response(http::response<http::string_body> reply) {
    http_response response;
    response.status = static_cast<int>(reply.result_int());
    for (const auto& field : reply) {
        response.headers[to_lower_case(std::string(field.name_string()))] = std::string(field.value());
    }
    response.body = std::move(reply.body());
    return response;
}

/// A whole reply, and whether its connection can be used again.
struct whole_reply {
    http_response response;
    bool keep_alive = false;
};

/// Sends `request` and reads the whole reply. Sets `closed_before_reply` if the peer closed the connection
/// before any part of the reply arrived.
result<whole_reply> exchange_once(timed_connection& connection, const endpoint& peer,
                                  const http_request& request, milliseconds timeout,
                                  bool& closed_before_reply) {
    error_code ec = connection.send(to_beast_request(peer, request), timeout);
    std::optional<reply_parser<http::string_body>> parser;
    bool got_some = false;
    if (!ec) {
        ec = connection.read_final_head(
            parser, [&](auto& next) { next.body_limit(request.max_reply_bytes); }, timeout);
        got_some = parser->got_some();
    }
    closed_before_reply = ec && ec != boost::beast::error::timeout && !got_some;
    while (!ec && !parser->is_done()) {
        ec = connection.read_some(*parser, timeout);
    }
    if (ec) {
        return outcome_unknown_failure(peer, request, ec.message());
    }
    const bool keep_alive = parser->keep_alive() && !connection.has_unread_bytes();
    return whole_reply{to_response(parser->release()), keep_alive};
}

class client_stream final : public http_stream {
public:
    explicit client_stream(milliseconds timeout) : timeout_(timeout) {}

    /// Connects, sends `request` and reads the head of the reply.
    result<done> open(const endpoint& peer, const http_request& request, milliseconds connect_timeout) {
        error_code ec = connection_.connect(peer, connect_timeout);
        if (ec) {
            return unreachable_failure(peer, request, ec.message());
        }
        ec = connection_.send(to_beast_request(peer, request), timeout_);
        if (!ec) {
            ec = connection_.read_final_head(
                parser_, [](auto& next) { next.body_limit(boost::none); }, timeout_);
        }
        if (ec) {
            return outcome_unknown_failure(peer, request, ec.message());
        }
        return done{};
    }

    int status() const override { return static_cast<int>(parser_->get().result_int()); }

    std::string header(const std::string& name) const override { return std::string(parser_->get()[name]); }

    bool read_line(std::string& line) override {
        std::size_t end = unread_.find('\n');
        while (end == std::string::npos && unread_.size() <= max_line_bytes) {
            const std::size_t searched = unread_.size();
            if (!read_more()) {
                break;
            }
            end = unread_.find('\n', searched);
        }
        if (end == std::string::npos) {
            return false;
        }
        line = unread_.substr(0, end);
        unread_.erase(0, end + 1);
        return true;
    }

    std::string read_rest() override {
        while (unread_.size() <= max_rest_bytes && read_more()) {
        }
        return std::exchange(unread_, {});
    }

private:
    static constexpr std::size_t piece_bytes = 8192;

    /// Reads more of the body. Returns false at its end, or if it was cut off.
    bool read_more() {
        if (parser_->is_done()) {
            return false;
        }
        auto& body = parser_->get().body();
        body.data = piece_.data();
        body.size = piece_.size();
        body.more = true;
        const error_code ec = connection_.read_some(*parser_, timeout_);
        unread_.append(piece_.data(), piece_.size() - body.size);
        return !ec || ec == http::error::need_buffer;
    }

    milliseconds timeout_;
    timed_connection connection_;
    std::optional<reply_parser<http::buffer_body>> parser_; ///< Present once the head has been read.
    std::array<char, piece_bytes> piece_{};
    std::string unread_; ///< Bytes of the body that were read and not returned yet.
};

} // namespace

void set_sender_name(const std::string& name) {
    sender_name() = name;
}

std::string endpoint::text() const {
    return address + ":" + std::to_string(port);
}

result<endpoint> parse_endpoint(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    const long port = colon == std::string::npos ? 0 : std::strtol(text.c_str() + colon + 1, nullptr, 10);
    if (port < 1 || port > 65535 || colon == 0) {
        return make_failure(errc::malformed, "read address", "",
                            "\"" + text + "\" is not of the form <IP number>:<port 1 to 65535>");
    }
    return endpoint{text.substr(0, colon), static_cast<unsigned short>(port)};
}

namespace {

result<std::unique_ptr<http_stream>> open_stream_once(const endpoint& peer, const http_request& request,
                                                      const http_timeouts& timeouts) {
    auto stream = std::make_unique<client_stream>(timeouts.read);
    const result<done> opened = stream->open(peer, request, timeouts.connect);
    if (!opened) {
        return opened.error();
    }
    return std::unique_ptr<http_stream>(std::move(stream));
}

result<http_response> call_once(const endpoint& peer, const http_request& request,
                                const http_timeouts& timeouts) {
    timed_connection connection;
    const error_code ec = connection.connect(peer, timeouts.connect);
    if (ec) {
        return unreachable_failure(peer, request, ec.message());
    }
    bool closed_before_reply = false;
    result<whole_reply> reply = exchange_once(connection, peer, request, timeouts.read, closed_before_reply);
    if (!reply) {
        return reply.error();
    }
    return std::move(reply.value().response);
}

} // namespace

result<std::unique_ptr<http_stream>> open_http_stream(const endpoint& peer, const http_request& request,
                                                      const http_timeouts& timeouts) {
    return send_with_fault<std::unique_ptr<http_stream>>(
        peer, request, [=] { return open_stream_once(peer, request, timeouts); });
}

result<http_response> call_http(const endpoint& peer, const http_request& request,
                                const http_timeouts& timeouts) {
    result<http_response> response =
        send_with_fault<http_response>(peer, request, [=] { return call_once(peer, request, timeouts); });
    hit_answered_failpoint(request);
    return response;
}

class http_connection_pool::impl {
public:
    explicit impl(endpoint peer) : peer_(std::move(peer)) {}

    const endpoint& peer() const { return peer_; }

    result<http_response> call(const http_request& request, const http_timeouts& timeouts) {
        std::unique_ptr<timed_connection> idle = take_idle_connection();
        if (idle != nullptr) {
            bool closed_before_reply = false;
            result<whole_reply> reply =
                exchange_once(*idle, peer_, request, timeouts.read, closed_before_reply);
            if (!closed_before_reply) {
                return finish(std::move(idle), std::move(reply));
            }
            // The peer may have closed the idle connection, so the idempotent request is sent again.
        }
        auto connection = std::make_unique<timed_connection>();
        const error_code ec = connection->connect(peer_, timeouts.connect);
        if (ec) {
            return unreachable_failure(peer_, request, ec.message());
        }
        bool closed_before_reply = false;
        result<whole_reply> reply =
            exchange_once(*connection, peer_, request, timeouts.read, closed_before_reply);
        return finish(std::move(connection), std::move(reply));
    }

private:
    static constexpr std::size_t max_idle_connections = 16;

    result<http_response> finish(std::unique_ptr<timed_connection> connection, result<whole_reply> reply) {
        if (!reply) {
            return reply.error();
        }
        if (reply.value().keep_alive) {
            return_connection(std::move(connection));
        }
        return std::move(reply.value().response);
    }

    std::unique_ptr<timed_connection> take_idle_connection() {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (idle_connections_.empty()) {
            return nullptr;
        }
        auto connection = std::move(idle_connections_.back());
        idle_connections_.pop_back();
        return connection;
    }

    void return_connection(std::unique_ptr<timed_connection> connection) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (idle_connections_.size() < max_idle_connections) {
            idle_connections_.push_back(std::move(connection));
        }
    }

    endpoint peer_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<timed_connection>> idle_connections_;
};

http_connection_pool::http_connection_pool(endpoint peer) : impl_(std::make_unique<impl>(std::move(peer))) {}

http_connection_pool::~http_connection_pool() = default;

result<http_response> http_connection_pool::call(const http_request& request, const http_timeouts& timeouts) {
    result<http_response> response =
        send_with_fault<http_response>(peer(), request, [=] { return impl_->call(request, timeouts); });
    hit_answered_failpoint(request);
    return response;
}

const endpoint& http_connection_pool::peer() const {
    return impl_->peer();
}

} // namespace eelgrassgw

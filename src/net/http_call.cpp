#include "net/http_call.h"

#include "net/socket_deadline.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrassgw {

namespace {

constexpr std::chrono::seconds keep_idle{20};
constexpr std::uint64_t largest_reply = 8U << 20U; // Bytes.

} // namespace

task<result<text_reply>> call_http(connection_pool& pool, std::string address, text_request request,
                                   call_timeouts limits) {
    auto opened = co_await pool.open(address, limits.connect);
    if (!opened) {
        co_return opened.error();
    }
    std::unique_ptr<connection> to = std::move(opened.value());
    request.set(http::field::host, address);
    request.keep_alive(true);
    request.prepare_payload();
    http::response_parser<http::string_body> parser;
    parser.body_limit(largest_reply);
    net_error ec;
    bool timed_out = false;
    {
        const socket_deadline limit(to->socket, limits.reply);
        co_await http::async_write(to->socket, request, with_error(ec));
        if (!ec) {
            co_await http::async_read(to->socket, to->buffer, parser, with_error(ec));
        }
        timed_out = limit.passed();
    }
    if (ec) {
        const std::string why =
            timed_out ? "no reply in " + std::to_string(limits.reply.count()) + " ms" : ec.message();
        co_return make_failure(errc::outcome_unknown, "call " + std::string(request.target()), address, why);
    }
    text_reply reply = parser.release();
    if (reply.keep_alive() && to->buffer.size() == 0) {
        pool.keep(std::move(to), keep_idle);
    }
    co_return reply;
}

} // namespace eelgrassgw

#include "net/http_call.h"

#include "net/peer_deadline.h"
#include "net/reply_parser.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace eelgrassgw {

namespace {

constexpr std::chrono::seconds idle_timeout{20};

// Each read takes a turn of the event loop, which at a full process waits for callers' work.
constexpr std::size_t max_read_bytes = 64U << 10U;

/// Makes room for large reads if much of the reply's body is still to come. The library reads as much as the
/// buffer can hold, at first 512 bytes.
void make_room_for_body(connection& from, reply_parser<http::string_body>& parser) {
    if (!parser.is_header_done()) {
        return;
    }
    const std::uint64_t remaining = parser.content_length_remaining().value_or(max_read_bytes);
    const auto wanted = static_cast<std::size_t>(std::min<std::uint64_t>(remaining, max_read_bytes));
    if (wanted > from.buffer.capacity()) {
        from.buffer.reserve(wanted);
    }
}

/// Reads the rest of a reply and notes how it arrives.
task<net_error> read_reply(connection& from, reply_parser<http::string_body>& parser, peer_deadline& deadline,
                           reply_arrival& arrival) {
    net_error ec;
    parser.eager(true);
    while (!ec && !parser.is_done()) {
        const std::size_t n =
            co_await http::async_read_some(from.socket, from.buffer, parser, with_error(ec));
        if (n > 0) {
            arrival.first_read_at = arrival.reads == 0 ? reply_arrival::clock::now() : arrival.first_read_at;
            arrival.bytes += n;
            ++arrival.reads;
            deadline.note_bytes(n);
        }
        make_room_for_body(from, parser);
    }
    co_return ec;
}

} // namespace

task<result<text_reply>> call_http(connection_pool& pool, std::string address, text_request request,
                                   call_timeouts timeouts, reply_arrival* arrival, std::size_t max_bytes) {
    reply_arrival own_arrival;
    reply_arrival& noted = arrival == nullptr ? own_arrival : *arrival;
    noted = {};
    auto opened = co_await pool.open(address, timeouts.connect);
    if (!opened) {
        co_return opened.error();
    }
    std::unique_ptr<connection> server_connection = std::move(opened.value());
    request.set(http::field::host, address);
    request.keep_alive(true);
    request.prepare_payload();
    reply_parser<http::string_body> parser;
    parser.body_limit(max_bytes);
    net_error ec;
    bool timed_out = false;
    {
        peer_deadline deadline(server_connection->socket, timeouts.reply, peer_deadline::awaited::reply);
        noted.sent_at = reply_arrival::clock::now();
        co_await http::async_write(server_connection->socket, request, with_error(ec));
        if (!ec) {
            ec = co_await read_reply(*server_connection, parser, deadline, noted);
        }
        noted.ended_at = reply_arrival::clock::now();
        timed_out = deadline.passed();
    }
    if (ec) {
        const errc code = ec == http::error::body_limit ? errc::reply_too_large : errc::outcome_unknown;
        const std::string cause =
            (timed_out ? "no reply in " + std::to_string(timeouts.reply.count()) + " ms" : ec.message()) +
            " (" + std::to_string(noted.bytes) + " bytes in " + std::to_string(noted.reads) + " reads)";
        co_return make_failure(code, "call " + std::string(request.target()), address, cause);
    }
    text_reply reply = parser.release();
    if (reply.keep_alive() && server_connection->buffer.size() == 0) {
        server_connection->buffer.shrink_to_fit();
        pool.keep(std::move(server_connection), idle_timeout);
    }
    co_return reply;
}

} // namespace eelgrassgw

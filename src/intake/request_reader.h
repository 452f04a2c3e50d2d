#pragma once

/// Reads requests from any source of bytes, and counts the bytes of their bodies as they arrive.

#include "intake/intake_guard.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <concepts>

namespace eelgrassgw {

using body_parser = http::request_parser<http::string_body>;

/// Requirements on what a request is read from. `input` holds the bytes that were read and not parsed yet,
/// also those after the request; `read_more` adds some to it; `is_input_full` says that it cannot, as too
/// many are left.
template <class T>
concept byte_source = requires(T source) {
    { source.input() } -> std::same_as<boost::beast::flat_buffer&>;
    { source.read_more() } -> std::same_as<task<net_error>>;
    { source.is_input_full() } -> std::same_as<bool>;
};

/// Returns the memory of a request that is being read from `input`. A body of unknown length has room for up
/// to twice its size. The room for a body of declared length is not touched before its bytes arrive.
inline std::size_t held_bytes(const body_parser& parser, const boost::beast::flat_buffer& input) {
    const std::string& body = parser.get().body();
    return input.capacity() + (parser.chunked() ? body.capacity() : body.size());
}

/// Parses what has arrived. Returns need_more if the parser then waits for more bytes.
inline net_error parse_input(boost::beast::flat_buffer& input, body_parser& parser) {
    net_error ec = http::error::need_more;
    if (input.size() > 0) {
        input.consume(parser.put(input.data(), ec));
    }
    return ec;
}

/// Adds bytes to what has arrived of a request that is not complete.
template <byte_source Source>
task<net_error> read_rest(Source& source) {
    if (source.is_input_full()) {
        co_return http::error::buffer_overflow;
    }
    const net_error ec = co_await source.read_more();
    co_return ec == asio::error::eof ? net_error(http::error::partial_message) : ec;
}

/// Reads the head of a request. Returns the error that ended it. Precondition: all arguments outlive the
/// task.
template <byte_source Source>
task<net_error> read_head(Source& source, body_parser& parser) {
    for (;;) {
        const net_error parsed = parse_input(source.input(), parser);
        if (parser.is_header_done() || (parsed && parsed != http::error::need_more)) {
            co_return parser.is_header_done() ? net_error() : parsed;
        }
        const net_error ec = co_await read_rest(source);
        if (ec) {
            co_return ec;
        }
    }
}

/// Reads the rest of a request whose head `parser` has read. Returns the error that ended the body;
/// operation_aborted if the connection lost its place. Precondition: all arguments outlive the task.
template <byte_source Source>
task<net_error> read_body(Source& source, body_parser& parser, intake_place& place) {
    parser.eager(true);
    for (std::size_t new_bytes = source.input().size(); !parser.is_done();) {
        const net_error parsed = parse_input(source.input(), parser);
        if (parsed && parsed != http::error::need_more) {
            co_return parsed;
        }
        if (!place.note_read(new_bytes, held_bytes(parser, source.input()))) {
            co_return asio::error::operation_aborted;
        }
        if (parser.is_done()) {
            break;
        }
        const std::size_t unparsed_bytes = source.input().size();
        const net_error ec = co_await read_rest(source);
        if (ec) {
            co_return ec;
        }
        new_bytes = source.input().size() - unparsed_bytes;
    }
    co_return net_error();
}

} // namespace eelgrassgw

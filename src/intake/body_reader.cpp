#include "intake/body_reader.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

// Bytes of one read. Larger reads save little and stay allocated for each connection.
constexpr std::size_t read_bytes = 32U << 10U;

/// Returns the memory of a request that is being read. A body of unknown length has room for up to twice its
/// size. The room for a body of declared length is not touched before its bytes arrive.
std::size_t held_bytes(const http::request_parser<http::string_body>& parser,
                       const boost::beast::flat_buffer& buffer) {
    const std::string& body = parser.get().body();
    return buffer.capacity() + (parser.chunked() ? body.capacity() : body.size());
}

} // namespace

task<net_error> read_body(tcp::socket& socket, boost::beast::flat_buffer& buffer,
                          http::request_parser<http::string_body>& parser, intake_place& place) {
    net_error ec;
    parser.eager(true);
    for (std::size_t new_bytes = buffer.size(); !parser.is_done();) {
        if (buffer.size() > 0) {
            buffer.consume(parser.put(buffer.data(), ec));
            if (ec && ec != http::error::need_more) {
                co_return ec;
            }
        }
        if (!place.note_read(new_bytes, held_bytes(parser, buffer))) {
            co_return asio::error::operation_aborted;
        }
        if (parser.is_done()) {
            break;
        }
        if (buffer.size() == buffer.max_size()) {
            co_return http::error::buffer_overflow;
        }
        const std::size_t room = std::min(read_bytes, buffer.max_size() - buffer.size());
        new_bytes = co_await socket.async_read_some(buffer.prepare(room), with_error(ec));
        buffer.commit(new_bytes);
        if (ec) {
            co_return ec == asio::error::eof ? net_error(http::error::partial_message) : ec;
        }
    }
    co_return net_error();
}

} // namespace eelgrassgw

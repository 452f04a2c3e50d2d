#include "intake/counted_write.h"

#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrassgw {

task<net_error> write_counted(tcp::socket& socket, text_reply& reply, intake_place& place) {
    const counted_sending counted(place, reply.body().size());
    http::response_serializer<http::string_body> serializer(reply);
    net_error ec;
    socket.non_blocking(true, ec);
    while (!ec && !serializer.is_done()) {
        // What the socket takes at once costs no turn of the event loop.
        std::size_t sent_bytes = http::write_some(socket, serializer, ec);
        if (ec == asio::error::would_block) {
            sent_bytes = co_await http::async_write_some(socket, serializer, with_error(ec));
        }
        place.note_sent(sent_bytes);
    }
    co_return ec;
}

} // namespace eelgrassgw

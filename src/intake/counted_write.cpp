#include "intake/counted_write.h"

#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrassgw {

task<net_error> write_counted(tcp::socket& socket, text_reply& reply, intake_place& place) {
    const counted_sending counted(place, reply.body().size());
    http::response_serializer<http::string_body> serializer(reply);
    net_error ec;
    while (!ec && !serializer.is_done()) {
        place.note_sent(co_await http::async_write_some(socket, serializer, with_error(ec)));
    }
    co_return ec;
}

} // namespace eelgrassgw

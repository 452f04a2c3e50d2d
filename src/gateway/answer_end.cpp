#include "gateway/answer_end.h"

#include <array>
#include <cstddef>

namespace eelgrassgw {

const char* name_of(body_framing framing) {
    constexpr std::array names = {"length", "chunked", "connection_end"};
    return names.at(static_cast<std::size_t>(framing));
}

std::string find_end_fault(const body_end& body, const std::optional<stream_end>& events) {
    if (!body.read_error.empty()) {
        return body.read_error;
    }
    const bool ends_with_connection = body.framing == body_framing::connection_end;
    if (ends_with_connection && body.upload_was_cut) {
        return "the connection was closed or reset while the request was being sent";
    }
    if (events && events->inside_event) {
        return "the stream ended inside an event";
    }
    if (events && ends_with_connection && !events->has_new_events) {
        return "the stream ended before its first event";
    }
    return {};
}

} // namespace eelgrassgw

#pragma once

/// Names what a caller's session is doing, for the metrics and the log.

#include <array>
#include <cstddef>

namespace eelgrassgw {

/// What a caller's session is doing.
enum class session_activity {
    between_requests, ///< It neither waits for a request nor serves one. Lasts for one turn of the event
                      ///< loop.
    idle,             ///< It waits for the first bytes of a request.
    reading,          ///< A request is arriving.
    serving,          ///< It serves a request.
};

constexpr std::array session_activities = {session_activity::between_requests, session_activity::idle,
                                           session_activity::reading, session_activity::serving};

/// Returns the name of an activity in the metrics.
inline const char* name_of(session_activity activity) {
    constexpr std::array<const char*, session_activities.size()> names = {"between_requests", "idle",
                                                                          "reading", "serving"};
    return names.at(static_cast<std::size_t>(activity));
}

} // namespace eelgrassgw

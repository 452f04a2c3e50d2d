#pragma once

/// A backend server as the platform's list describes it.

#include <cstdint>
#include <string>

namespace eelgrassgw {

struct backend_server {
    std::string id; ///< Names one start of the server, mostly.
    std::string service;
    std::string address; ///< IP:port.
    std::string data_centre;
    int slots = 0;               ///< Requests that it runs at once; 0: not stated.
    bool draining = false;       ///< Takes no new work.
    std::int64_t started_ms = 0; ///< Unix time of its start; 0: not stated.
};

} // namespace eelgrassgw

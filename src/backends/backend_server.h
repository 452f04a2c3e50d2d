#pragma once

/// Describes a backend server as it appears in the platform's list.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassgw {

/// The description that a backend server publishes of itself.
struct backend_server {
    std::string id;      ///< Identifier that usually changes each time the server starts.
    std::string service; ///< Name of the service that the server belongs to.
    std::string address; ///< Address in the form IP:port.
    std::string data_centre;
    std::string version;         ///< Version of the server's software; empty if not stated.
    int slots = 0;               ///< Number of requests that the server runs concurrently; 0 if not stated.
    bool draining = false;       ///< Whether the server accepts no new requests.
    std::int64_t started_ms = 0; ///< Unix time of the server's start in milliseconds; 0 if not stated.

    /// Time for which the server stays cold, from the moment at which it wrote its entry.
    std::chrono::milliseconds cold_time_left{0};
};

/// Returns whether a text can be the id of a backend server: 1 to 256 ASCII letters, digits and characters of
/// "-._~:@". Targets and headers hold these as they are. An entry of the list under another name was not
/// written by a server. Thread-safe.
bool is_valid_server_id(std::string_view id);

} // namespace eelgrassgw

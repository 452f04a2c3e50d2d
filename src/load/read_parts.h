#pragma once

/// Remembers which shared prompt parts a backend server has read.

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace eelgrassgw {

/// The shared prompt parts that a server has read for requests of this process. Times are arguments. Not
/// thread-safe.
class read_parts {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Time for which a part counts as read after its last use. The server drops parts when its memory is
    /// full, which it does not tell.
    static constexpr std::chrono::seconds retention{30};

    /// Largest number of parts of one server; at most 5 MB for 350 servers.
    static constexpr std::size_t max_parts = 256;

    /// Notes that the server has read `part`. An empty part is ignored.
    void note(const std::string& part, time_point now);

    /// Returns whether the server has read `part` lately.
    bool contains(const std::string& part, time_point now) const;

private:
    std::unordered_map<std::size_t, time_point> expiry_by_hash_;
};

} // namespace eelgrassgw

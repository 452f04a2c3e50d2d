#pragma once

/// Decides which router may send the next request with a suspect prompt part to a server.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Divides the time into turns and gives each turn to one router, without any message: all routers that know
/// the same routers come to the same result. A router that does not use its turn only delays the probe to the
/// next turn. Not thread-safe.
class probe_schedule {
public:
    /// Length of a turn.
    static constexpr std::chrono::milliseconds turn_time{2000};
    /// Time that a server needs to crash under a probe and the routers to tell one another. No probe begins
    /// so late in a turn that the next router might send one before it knows the result.
    static constexpr std::chrono::milliseconds result_time{1000};

    /// Sets the addresses of this router and of the others. Without others, each turn is this router's.
    void set_routers(std::string own, std::vector<std::string> others);

    /// Returns the number of the turn at a time.
    static std::int64_t turn_at(std::chrono::system_clock::time_point now);

    /// Returns whether enough of the turn is left at a time for the result of a probe to become known.
    static bool has_time_for_result(std::chrono::system_clock::time_point now);

    /// Returns whether the turn for this part is this router's.
    bool is_own_turn(const std::string& part, std::int64_t turn) const;

private:
    std::string own_;
    std::vector<std::string> others_;
};

} // namespace eelgrassgw

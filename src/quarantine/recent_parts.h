#pragma once

/// Remembers which prompt parts were answered lately.

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_set>
#include <utility>

namespace eelgrassgw {

/// A set of prompt parts that forgets a part some time after it was last inserted. Not thread-safe.
class recent_parts {
public:
    using steady_time = std::chrono::steady_clock::time_point;

    /// A part is remembered for at least this time, and for less than twice as long, unless there are too
    /// many.
    static constexpr std::chrono::minutes retention{10};
    static constexpr std::size_t max_parts_per_generation = 4096;

    void insert(const std::string& part, steady_time now) {
        const bool is_full = newer_.size() >= max_parts_per_generation;
        if (is_full || now - newer_since_ >= retention) {
            older_ = std::exchange(newer_, {});
            newer_since_ = now;
        }
        newer_.insert(part);
    }

    bool contains(const std::string& part) const { return newer_.contains(part) || older_.contains(part); }

    void clear() {
        newer_.clear();
        older_.clear();
    }

private:
    std::unordered_set<std::string> newer_;
    std::unordered_set<std::string> older_;
    steady_time newer_since_{}; ///< Start of the newer generation.
};

} // namespace eelgrassgw

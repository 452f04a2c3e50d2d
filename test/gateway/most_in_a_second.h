#pragma once

/// Counts events within any second.

#include <algorithm>
#include <chrono>
#include <vector>

namespace eelgrassgw {

/// Returns the largest number of these times within any closed interval of one second.
inline std::size_t most_in_a_second(std::vector<std::chrono::steady_clock::time_point> times) {
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        while (times[i] - times[first] > std::chrono::seconds(1)) {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

} // namespace eelgrassgw

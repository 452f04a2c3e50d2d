#include "overload/event_coalescing.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

constexpr int window_divisor = 5;
constexpr std::chrono::milliseconds max_window{40};
constexpr int grid_steps_per_window = 4;

} // namespace

std::chrono::milliseconds coalescing_window(std::chrono::milliseconds event_delay_limit) {
    return std::min(event_delay_limit / window_divisor, max_window);
}

std::chrono::steady_clock::time_point next_read_time(std::chrono::steady_clock::time_point now,
                                                     std::chrono::milliseconds window) {
    const auto grid = std::chrono::steady_clock::duration(window) / grid_steps_per_window;
    const auto latest = now + window;
    return latest - latest.time_since_epoch() % grid;
}

} // namespace eelgrassgw

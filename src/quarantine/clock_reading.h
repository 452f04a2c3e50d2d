#pragma once

/// The time by both clocks of a machine.

#include <chrono>

namespace eelgrassgw {

/// The same moment by two clocks. Durations within a process are taken from `steady`; only what other
/// machines must understand, or what must outlast the process, uses `wall`.
struct clock_reading {
    std::chrono::steady_clock::time_point steady;
    std::chrono::system_clock::time_point wall;

    static clock_reading now() {
        return {std::chrono::steady_clock::now(), std::chrono::system_clock::now()};
    }
};

} // namespace eelgrassgw

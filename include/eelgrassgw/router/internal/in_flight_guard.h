#pragma once

#include <atomic>

namespace eelgrassgw::internal {

/// Increments a counter of requests in flight on construction and decrements it on destruction.
class in_flight_guard {
public:
    explicit in_flight_guard(std::atomic<int>& count) : count_(count) { ++count_; }
    ~in_flight_guard() { --count_; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::atomic<int>& count_;
};

} // namespace eelgrassgw::internal

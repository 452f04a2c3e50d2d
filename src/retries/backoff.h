#pragma once

/// Computes the delays between repeated attempts at an operation that keeps failing.

#include <chrono>

namespace eelgrassgw {

/// Doubles the delay with each failure, up to a maximum, and varies it at random, so that many processes that
/// failed at the same moment do not try again together. Not thread-safe.
class backoff {
public:
    using milliseconds = std::chrono::milliseconds;

    /// Preconditions: 0 < initial <= maximum.
    backoff(milliseconds initial, milliseconds maximum)
        : initial_(initial), maximum_(maximum), next_(initial) {}

    /// Returns the delay before the next attempt, between half and the whole of the current length.
    milliseconds next_delay();

    /// Starts again with the initial delay, after an attempt has succeeded.
    void reset() { next_ = initial_; }

private:
    milliseconds initial_;
    milliseconds maximum_;
    milliseconds next_; ///< Longest value of the next delay.
};

} // namespace eelgrassgw

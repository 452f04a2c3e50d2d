#pragma once

/// Lets a task wait for something that another task brings about.

#include "net/task.h"

#include <utility>

namespace eelgrassgw {

/// A call of `notify` ends exactly one wait, also if it comes before the wait has begun, or after the wait's
/// time has passed but before its task runs again. Not thread-safe.
class notification {
public:
    using clock = std::chrono::steady_clock;

    explicit notification(const asio::any_io_executor& executor) : timer_(executor) {}

    /// Ends the wait in progress, or the next one if no task waits. Further calls until then have no effect.
    void notify() {
        notified_ = true;
        timer_.cancel();
    }

    /// Waits until `notify` is called or `deadline` has passed. Returns whether it was called. Precondition:
    /// no other task waits, and this object outlives the wait.
    task<bool> wait_until(clock::time_point deadline) {
        if (!notified_) {
            net_error ignored; // The flag tells how the wait ended.
            timer_.expires_at(deadline);
            co_await timer_.async_wait(with_error(ignored));
        }
        co_return std::exchange(notified_, false);
    }

    /// Waits until `notify` is called. Precondition: as for `wait_until`.
    task<void> wait() { (void)co_await wait_until(clock::time_point::max()); }

private:
    asio::steady_timer timer_;
    bool notified_ = false;
};

} // namespace eelgrassgw

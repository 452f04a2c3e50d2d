#pragma once

/// Admission to a backend server: a bounded number of runs, a bounded queue, priorities.

#include "eelgrassgw/run/run.h"

#include <chrono>
#include <condition_variable>
#include <list>
#include <mutex>
#include <string>

namespace eelgrassgw {

/// Thread-safe. Higher priorities go first, but every fourth free slot goes to the longest waiter, so that
/// no priority starves.
class run_slots {
public:
    run_slots(int max_running, int max_queued)
        : configured_max_running_(max_running), max_queued_(max_queued), max_running_(max_running) {}

    /// Lowers the number of runs at once to `most`, or raises it again, up to that of the construction. Runs
    /// that go on are not cut off.
    void set_max_running(int max_running);

    /// A place in the queue. Returns false where the queue is full.
    bool enter_queue();

    /// Gives a place up. Precondition: `enter_queue` returned true.
    void leave_queue();

    /// Waits for a slot. Returns false where the deadline passes or the run is cancelled first; the place in
    /// the queue is then gone. Precondition: `enter_queue` returned true.
    bool wait_for_slot(const run& r);

    /// Frees a slot that was held for `busy`.
    void release(std::chrono::milliseconds busy_time);

    /// When a caller that is refused now may expect a place, from the measured drain rate. Each refused
    /// caller is given a time of its own, so that they do not all come back at once.
    std::chrono::milliseconds reserve_retry_delay(steady_time now);

    int running() const;
    int queued() const;

private:
    struct waiter {
        int rank = 0;
        std::uint64_t arrival = 0;
        bool admitted = false;
    };

    void admit_next();

    const int configured_max_running_;
    const int max_queued_;
    mutable std::mutex mutex_;
    std::condition_variable slots_changed_;
    std::list<waiter> waiters_;
    int reserved_places_ = 0; ///< Promised by `enter_queue` and not yet waiting.
    int max_running_;
    int running_ = 0;
    std::uint64_t arrival_count_ = 0;
    std::uint64_t admission_count_ = 0;
    double mean_busy_ms_ = 500;
    steady_time last_retry_time_{};
};

} // namespace eelgrassgw

#pragma once

/// Admission control for a backend server with a limit on running and on queued requests and with priorities.

#include "eelgrassgw/run/run.h"

#include <chrono>
#include <condition_variable>
#include <list>
#include <mutex>
#include <string>

namespace eelgrassgw {

/// Admits runs up to a limit and queues the others. Runs of a higher priority start first, but every fourth
/// free slot goes to the run that has waited longest, so that no priority starves. Thread-safe.
class run_slots {
public:
    run_slots(int max_running, int max_queued)
        : configured_max_running_(max_running), max_queued_(max_queued), max_running_(max_running) {}

    /// Sets the number of runs that may execute at once. The value is raised to at least 1 and capped at the
    /// limit given to the constructor. Runs that have already started continue.
    void set_max_running(int max_running);

    /// Reserves a place in the queue. Returns false if the queue is full.
    bool enter_queue();

    /// Releases a reserved place in the queue. Precondition: `enter_queue` returned true.
    void leave_queue();

    /// Waits for a slot. Returns false if the deadline passes or the run is cancelled first. The reserved
    /// place in the queue is released in either case. Precondition: `enter_queue` returned true.
    bool wait_for_slot(const run& r);

    /// Frees a slot that a run has occupied for `busy_time`.
    void release(std::chrono::milliseconds busy_time);

    /// Returns the delay after which a refused caller should retry, estimated from the mean run time. Each
    /// refused caller gets a later time than the previous one, up to a limit, so that they do not all retry
    /// at once.
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
    int reserved_places_ = 0; ///< Places reserved by `enter_queue` whose runs do not wait yet.
    int max_running_;
    int running_ = 0;
    std::uint64_t arrival_count_ = 0;
    std::uint64_t admission_count_ = 0;
    double mean_busy_ms_ = 500;
    steady_time last_retry_time_{};
};

} // namespace eelgrassgw

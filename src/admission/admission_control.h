#pragma once

/// Has requests wait for room at the backend servers.

#include "admission/admission_queue.h"
#include "eelgrassgw/metrics/metrics.h"
#include "net/notification.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassgw {

/// How the wait of a request ended.
struct admission_verdict {
    enum class outcome {
        placed,      ///< A server was chosen; its room is taken.
        unavailable, ///< No server can run the request.
        refused,     ///< The request cannot be served while its answer is of use.
        cancelled,   ///< The caller left, or the deadline passed.
    };
    outcome result = outcome::cancelled;
    std::chrono::milliseconds retry_after{0}; ///< For a refused request: when there will be room for it.
    std::chrono::milliseconds waited{0};
};

/// Returns the name of an outcome in the log.
const char* name_of(admission_verdict::outcome outcome);

/// Lets the tasks that watch a caller and its deadline end the wait of its request. Not thread-safe.
class admission_wait {
public:
    explicit admission_wait(asio::io_context& context) : ended_(context.get_executor()) {}

    /// Gives up the place in the queue at once, or keeps the wait from beginning. Does nothing after the wait
    /// has ended.
    void cancel() {
        is_cancelled_ = true;
        if (on_cancel_) {
            on_cancel_();
        }
    }

private:
    friend class admission_control;

    notification ended_; ///< Wakes the task of the request.
    bool is_cancelled_ = false;
    std::function<void()> on_cancel_;
    std::optional<admission_verdict> verdict_; ///< Set once the wait has ended.
};

/// Runs the admission queue of one router: offers it the room that appears, and resumes the requests that are
/// served or refused. Tasks that wait share its ownership. Not thread-safe: all tasks run on one thread.
class admission_control : public std::enable_shared_from_this<admission_control> {
public:
    using clock = admission_queue::clock;
    using milliseconds = std::chrono::milliseconds;

    /// Time between two looks for room that no event announces: notices that expire, pauses that end, servers
    /// that are no longer avoided. A look costs a choice of a server for each size that waits.
    static constexpr milliseconds fallback_interval{25};

    /// Precondition: `context` outlives this object, and `metrics` the last call of a member function.
    admission_control(asio::io_context& context, metrics_registry& metrics)
        : context_(context), metrics_(metrics), fallback_(context) {}

    /// Returns once the request was placed by `try_place`, or need not wait any longer. A request that no
    /// other one precedes and that finds room does not wait. `try_place` is called while the task waits; it
    /// must take the room that it finds.
    task<admission_verdict> admit(admission_request request, std::function<place_attempt()> try_place,
                                  std::shared_ptr<admission_wait> wait);

    /// Offers room that may have appeared to the waiting requests, soon after this call.
    void room_appeared();

    /// Returns the number of waiting requests.
    std::size_t waiting_requests() const { return queue_.size(); }

private:
    struct waiter {
        std::function<place_attempt()> try_place;
        std::shared_ptr<admission_wait> wait;
        int priority = 0;
        clock::time_point since{};
    };

    void serve_queue();
    void end_wait(admission_queue::ticket number, admission_verdict verdict);
    void start_fallback();
    void update_gauges();

    asio::io_context& context_;
    metrics_registry& metrics_;
    asio::steady_timer fallback_;
    admission_queue queue_;
    std::map<admission_queue::ticket, waiter> waiters_;
    std::map<int, int> reported_counts_; ///< Values of the gauge by priority.
    bool is_look_due_ = false;           ///< Whether `room_appeared` has scheduled a look.
    bool is_fallback_running_ = false;
};

} // namespace eelgrassgw

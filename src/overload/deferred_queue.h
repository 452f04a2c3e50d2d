#pragma once

/// Runs callers' work after the control work that waits in the same event loop.

#include "net/task.h"

#include <boost/asio/any_completion_handler.hpp>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <utility>

namespace eelgrassgw {

/// A queue of functions that the thread of an I/O context runs in batches. Between two batches, the context
/// polls its sockets and timers and runs every handler that does not use the queue. Control work therefore
/// waits for one batch at most, however much callers' work is queued. The queue belongs to its context, which
/// destroys the functions that are left at its own end. Not thread-safe: one thread runs the context and adds
/// all functions.
class deferred_queue : public asio::execution_context::service {
public:
    using clock = std::chrono::steady_clock;
    using key_type = deferred_queue;

    /// Longest time after which a batch ends, once its current function has returned. On a VM with 0.068
    /// cores a function takes about 4 ms; batches of one function would poll the sockets once for each.
    static constexpr std::chrono::milliseconds max_batch_time{20};

    /// Identifies the service in its context.
    static asio::execution_context::id id;

    explicit deferred_queue(asio::io_context& context);

    /// Returns the queue of `context`.
    static deferred_queue& of(asio::io_context& context) {
        return asio::use_service<deferred_queue>(context);
    }

    /// Adds a function, which never runs inside this call.
    template <class Function>
    void add(Function&& function) {
        add_handler(asio::any_completion_handler<void()>(std::forward<Function>(function)));
    }

    /// Returns the number of functions that wait.
    std::size_t size() const { return entries_.size(); }

    /// Returns how long a function that is added now is likely to wait: the wait of the last one that was
    /// run, or of the one that has waited longest if that is more; zero if the queue is empty.
    clock::duration delay(clock::time_point now) const;

    /// Returns the longest wait of a function since the last call of this function, and starts anew.
    clock::duration take_max_delay();

private:
    using handler = asio::any_completion_handler<void()>;

    struct entry {
        handler run;
        clock::time_point added_at;
    };

    void shutdown() noexcept override;
    void add_handler(handler added);
    void schedule_batch();
    void run_batch();
    void run_first();

    asio::io_context& context_;
    std::deque<entry> entries_;
    clock::duration last_delay_{0};
    clock::duration max_delay_{0};
    bool batch_scheduled_ = false;
    bool shut_down_ = false;
};

/// An executor whose functions and handlers run through the deferred queue of an I/O context. Copies of it
/// are equal. Not thread-safe, like its queue.
class deferred_executor {
public:
    explicit deferred_executor(asio::io_context& context) : queue_(&deferred_queue::of(context)) {}

    bool operator==(const deferred_executor& other) const noexcept = default;

    /// Returns the I/O context. Part of the library's requirements on an executor.
    asio::execution_context& query(asio::execution::context_t) const noexcept { return queue_->context(); }

    /// Returns that `execute` never runs a function itself.
    static constexpr asio::execution::blocking_t query(asio::execution::blocking_t) noexcept {
        return asio::execution::blocking.never;
    }

    /// Returns an executor whose `execute` never runs a function itself, as that of each one does.
    deferred_executor require(asio::execution::blocking_t::never_t) const noexcept { return *this; }

    /// Adds a function to the queue.
    template <class Function>
    void execute(Function&& function) const {
        queue_->add(std::forward<Function>(function));
    }

private:
    deferred_queue* queue_;
};

} // namespace eelgrassgw

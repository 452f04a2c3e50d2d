#include "overload/deferred_queue.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <functional>

namespace eelgrassgw {

namespace {

// Turns of the event loop between two batches. A large reply to a control call arrives in many reads, each of
// which takes a turn; with one turn a batch, a configuration took seconds to arrive at a full router.
constexpr int control_turns_per_batch = 4;

/// Runs `function` after the event loop has polled its sockets `turns` times.
void run_after_control_turns(asio::io_context& context, int turns, std::function<void()> function) {
    asio::post(context, [&context, turns, function = std::move(function)]() mutable {
        if (turns <= 1) {
            function();
            return;
        }
        run_after_control_turns(context, turns - 1, std::move(function));
    });
}

} // namespace

asio::execution_context::id deferred_queue::id;

deferred_queue::deferred_queue(asio::io_context& context)
    : asio::execution_context::service(context), context_(context) {}

deferred_queue::clock::duration deferred_queue::delay(clock::time_point now) const {
    if (entries_.empty()) {
        return clock::duration::zero();
    }
    return std::max(last_delay_, now - entries_.front().added_at);
}

deferred_queue::clock::duration deferred_queue::take_max_delay() {
    return std::exchange(max_delay_, clock::duration::zero());
}

void deferred_queue::shutdown() noexcept {
    shut_down_ = true;
    // A function that is destroyed may own sockets and timers, whose end may add further ones.
    while (!entries_.empty()) {
        const std::deque<entry> destroyed = std::exchange(entries_, {});
    }
}

void deferred_queue::add_handler(handler added) {
    if (shut_down_) {
        return;
    }
    entries_.push_back({std::move(added), clock::now()});
    schedule_batch();
}

void deferred_queue::schedule_batch() {
    if (!batch_scheduled_) {
        batch_scheduled_ = true;
        run_after_control_turns(context_, control_turns_per_batch, [this] { run_batch(); });
    }
}

void deferred_queue::run_batch() {
    /// Schedules the next batch also if a function throws.
    struct rescheduler {
        explicit rescheduler(deferred_queue& scheduled) : queue(scheduled) {}
        ~rescheduler() {
            queue.batch_scheduled_ = false;
            if (!queue.entries_.empty()) {
                queue.schedule_batch();
            }
        }
        rescheduler(const rescheduler&) = delete;
        rescheduler& operator=(const rescheduler&) = delete;
        deferred_queue& queue;
    };
    const rescheduler next(*this);
    const auto end = clock::now() + max_batch_time;
    // What the batch's own functions add belongs to the next batch, so that sockets are polled before.
    for (std::size_t left = entries_.size(); left > 0 && !context_.stopped(); --left) {
        run_first();
        if (clock::now() >= end) {
            break;
        }
    }
}

void deferred_queue::run_first() {
    handler run = std::move(entries_.front().run);
    last_delay_ = clock::now() - entries_.front().added_at;
    max_delay_ = std::max(max_delay_, last_delay_);
    entries_.pop_front();
    std::move(run)();
}

} // namespace eelgrassgw

#include "admission/admission_control.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace eelgrassgw {

const char* name_of(admission_verdict::outcome outcome) {
    switch (outcome) {
    case admission_verdict::outcome::placed:
        return "placed";
    case admission_verdict::outcome::unavailable:
        return "unavailable";
    case admission_verdict::outcome::refused:
        return "refused";
    case admission_verdict::outcome::cancelled:
        break;
    }
    return "cancelled";
}

task<admission_verdict> admission_control::admit(admission_request request,
                                                 std::function<place_attempt()> try_place,
                                                 std::shared_ptr<admission_wait> wait) {
    if (wait->is_cancelled_) {
        co_return admission_verdict{};
    }
    const auto self = shared_from_this();
    const auto now = clock::now();
    const int priority = request.priority;
    const admission_queue::ticket number = queue_.offer(std::move(request), now);
    waiters_[number] = {std::move(try_place), wait, priority, now};
    // Also if the task is destroyed while it waits, the queue must not keep the reference to its request.
    const auto forget = [self](const admission_queue::ticket* left) {
        self->waiters_.erase(*left);
        self->queue_.leave(*left, clock::now());
    };
    const std::unique_ptr<const admission_queue::ticket, decltype(forget)> place(&number, forget);
    wait->on_cancel_ = [this, number] {
        queue_.leave(number, clock::now());
        end_wait(number, {});
        update_gauges();
        room_appeared(); // Room may have been kept for this request.
    };
    serve_queue();
    if (!wait->verdict_) {
        start_fallback();
    }
    while (!wait->verdict_) {
        co_await wait->ended_.wait();
    }
    wait->on_cancel_ = nullptr;
    co_return wait->verdict_.value_or(admission_verdict{});
}

void admission_control::room_appeared() {
    if (queue_.empty() || std::exchange(is_look_due_, true)) {
        return;
    }
    asio::post(context_, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->is_look_due_ = false;
            self->serve_queue();
        }
    });
}

void admission_control::serve_queue() {
    const auto now = clock::now();
    const auto try_place = [this](admission_queue::ticket number) {
        return waiters_.at(number).try_place();
    };
    for (const auto& each : queue_.next(try_place, now)) {
        admission_verdict verdict;
        verdict.result = each.result == place_attempt::placed ? admission_verdict::outcome::placed
                                                              : admission_verdict::outcome::unavailable;
        end_wait(each.number, verdict);
    }
    for (const auto& each : queue_.expire(now)) {
        metrics_.count("refused_by_order", {{"priority", std::to_string(waiters_.at(each.number).priority)}});
        end_wait(each.number, {admission_verdict::outcome::refused, each.retry_after, {}});
    }
    update_gauges();
}

/// Resumes the task of a request that has left the queue.
void admission_control::end_wait(admission_queue::ticket number, admission_verdict verdict) {
    const auto it = waiters_.find(number);
    if (it == waiters_.end()) {
        return;
    }
    const waiter ended = std::move(it->second);
    waiters_.erase(it);
    verdict.waited = std::chrono::duration_cast<milliseconds>(clock::now() - ended.since);
    metrics_.observe("queue_wait", verdict.waited, {{"priority", std::to_string(ended.priority)}});
    ended.wait->verdict_ = verdict;
    ended.wait->ended_.notify();
}

/// Looks for room at intervals for as long as requests wait.
void admission_control::start_fallback() {
    if (std::exchange(is_fallback_running_, true)) {
        return;
    }
    fallback_.expires_after(fallback_interval);
    fallback_.async_wait([weak = weak_from_this()](net_error) {
        const auto self = weak.lock();
        if (self == nullptr) {
            return;
        }
        self->is_fallback_running_ = false;
        self->serve_queue();
        if (!self->queue_.empty()) {
            self->start_fallback();
        }
    });
}

void admission_control::update_gauges() {
    std::map<int, int> counts = queue_.count_by_priority();
    for (const auto& [priority, count] : reported_counts_) {
        counts.try_emplace(priority, 0);
    }
    for (const auto& [priority, count] : counts) {
        if (const auto known = reported_counts_.find(priority);
            known == reported_counts_.end() || known->second != count) {
            metrics_.set("queued_requests", count, {{"priority", std::to_string(priority)}});
        }
    }
    reported_counts_ = std::move(counts);
}

} // namespace eelgrassgw

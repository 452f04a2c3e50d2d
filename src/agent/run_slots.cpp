#include "eelgrassgw/agent/run_slots.h"

#include "eelgrassgw/run/priority.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

constexpr std::uint64_t oldest_first_every = 4;
constexpr double busy_smoothing = 0.1;
constexpr std::chrono::milliseconds cancel_poll{50};
constexpr std::chrono::milliseconds longest_promise{60000};

} // namespace

bool run_slots::enter_queue() {
    const std::lock_guard lock(mutex_);
    const int waiting = places_ + static_cast<int>(waiters_.size());
    if (running_ + waiting >= max_running_ + max_queued_) {
        return false;
    }
    ++places_;
    return true;
}

void run_slots::leave_queue() {
    const std::lock_guard lock(mutex_);
    --places_;
}

bool run_slots::wait_for_slot(const run& r) {
    std::unique_lock lock(mutex_);
    --places_;
    const auto it = waiters_.insert(waiters_.end(), {priority_rank(r.work().priority), arrivals_++, false});
    admit_next();
    while (!it->admitted) {
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= r.deadline() || r.cancel_requested()) {
            waiters_.erase(it);
            return false;
        }
        changed_.wait_until(lock, std::min(r.deadline(), now + cancel_poll));
    }
    waiters_.erase(it);
    return true;
}

void run_slots::limit_running(int most) {
    const std::lock_guard lock(mutex_);
    max_running_ = std::min(most_running_, std::max(most, 1));
    admit_next();
}

void run_slots::admit_next() {
    while (running_ < max_running_) {
        const bool oldest_first = admissions_ % oldest_first_every == oldest_first_every - 1;
        auto best = waiters_.end();
        for (auto it = waiters_.begin(); it != waiters_.end(); ++it) {
            if (it->admitted) {
                continue;
            }
            if (best == waiters_.end() || (!oldest_first && it->rank < best->rank)) {
                best = it;
            }
        }
        if (best == waiters_.end()) {
            return;
        }
        best->admitted = true;
        ++running_;
        ++admissions_;
        changed_.notify_all();
    }
}

void run_slots::release(std::chrono::milliseconds busy) {
    const std::lock_guard lock(mutex_);
    --running_;
    mean_busy_ms_ += busy_smoothing * (static_cast<double>(busy.count()) - mean_busy_ms_);
    admit_next();
}

std::chrono::milliseconds run_slots::promise_place(steady_time now) {
    const std::lock_guard lock(mutex_);
    const std::chrono::milliseconds between_places(static_cast<std::int64_t>(mean_busy_ms_ / max_running_) +
                                                   1);
    last_promise_ = std::min(std::max(last_promise_, now) + between_places, now + longest_promise);
    return std::chrono::duration_cast<std::chrono::milliseconds>(last_promise_ - now);
}

int run_slots::running() const {
    const std::lock_guard lock(mutex_);
    return running_;
}

int run_slots::queued() const {
    const std::lock_guard lock(mutex_);
    return places_ + static_cast<int>(waiters_.size());
}

} // namespace eelgrassgw

#include "eelgrassgw/agent/run_slots.h"

#include "eelgrassgw/run/priority.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

constexpr std::uint64_t admissions_per_oldest_first = 4;
constexpr double busy_time_smoothing = 0.1;
constexpr std::chrono::milliseconds cancel_poll_interval{50};
constexpr std::chrono::milliseconds max_retry_delay{60000};

} // namespace

bool run_slots::enter_queue() {
    const std::lock_guard lock(mutex_);
    const int waiting = reserved_places_ + static_cast<int>(waiters_.size());
    if (running_ + waiting >= max_running_ + max_queued_) {
        return false;
    }
    ++reserved_places_;
    return true;
}

void run_slots::leave_queue() {
    const std::lock_guard lock(mutex_);
    --reserved_places_;
}

bool run_slots::wait_for_slot(const run& r) {
    std::unique_lock lock(mutex_);
    --reserved_places_;
    const auto it = waiters_.insert(waiters_.end(),
                                    {priority_rank(r.assigned_ticket().priority), arrival_count_++, false});
    admit_next();
    while (!it->admitted) {
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= r.deadline() || r.cancel_requested()) {
            waiters_.erase(it);
            return false;
        }
        slots_changed_.wait_until(lock, std::min(r.deadline(), now + cancel_poll_interval));
    }
    waiters_.erase(it);
    return true;
}

void run_slots::set_max_running(int max_running) {
    const std::lock_guard lock(mutex_);
    max_running_ = std::min(configured_max_running_, std::max(max_running, 1));
    admit_next();
}

void run_slots::admit_next() {
    while (running_ < max_running_) {
        const bool oldest_first =
            admission_count_ % admissions_per_oldest_first == admissions_per_oldest_first - 1;
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
        ++admission_count_;
        slots_changed_.notify_all();
    }
}

void run_slots::release(std::chrono::milliseconds busy_time) {
    const std::lock_guard lock(mutex_);
    --running_;
    mean_busy_ms_ += busy_time_smoothing * (static_cast<double>(busy_time.count()) - mean_busy_ms_);
    admit_next();
}

std::chrono::milliseconds run_slots::reserve_retry_delay(steady_time now) {
    const std::lock_guard lock(mutex_);
    const std::chrono::milliseconds delay_between_callers(
        static_cast<std::int64_t>(mean_busy_ms_ / max_running_) + 1);
    last_retry_time_ =
        std::min(std::max(last_retry_time_, now) + delay_between_callers, now + max_retry_delay);
    return std::chrono::duration_cast<std::chrono::milliseconds>(last_retry_time_ - now);
}

int run_slots::running() const {
    const std::lock_guard lock(mutex_);
    return running_;
}

int run_slots::queued() const {
    const std::lock_guard lock(mutex_);
    return reserved_places_ + static_cast<int>(waiters_.size());
}

} // namespace eelgrassgw

#include "limits/request_limit.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;
using seconds_as_double = std::chrono::duration<double>;

double requests_in(double rate, milliseconds time) {
    return rate * seconds_as_double(time).count();
}

} // namespace

milliseconds request_limit::time_until_room(time_point now) const {
    if (has_room(now)) {
        return milliseconds(0);
    }
    return std::chrono::ceil<milliseconds>(seconds_as_double((1 - available(now)) / applied_rate()));
}

bool request_limit::note_answer(std::optional<double> rate, time_point now) {
    if (!rate && stated_at_ == time_point{}) {
        return false; // Most servers never name a limit.
    }
    const bool differs = rate != rate_;
    adopt(rate, now, now);
    return differs;
}

bool request_limit::note_view(const request_limit_view& other, int taken, time_point now) {
    const time_point stated_at = now - other.age;
    if (!other.rate && stated_at_ == time_point{}) {
        return false;
    }
    const bool was_in_force = is_in_force();
    const bool is_behind = stated_at < stated_at_ && other.rate != rate_;
    if (stated_at > stated_at_) {
        adopt(other.rate, stated_at, now);
    }
    if (!is_in_force() || !other.rate) {
        return is_behind;
    }
    if (!was_in_force) {
        set_available(other.available, now);
        return is_behind;
    }
    const double remaining = available(now) - taken;
    const double tolerated = usual_difference + requests_in(*rate_, usual_difference_time);
    set_available(other.available < remaining - tolerated ? other.available : remaining, now);
    return is_behind;
}

request_limit_view request_limit::view(time_point now) const {
    return {rate_, age(now).value_or(milliseconds(0)), is_in_force() ? available(now) : 0};
}

std::optional<milliseconds> request_limit::age(time_point now) const {
    if (stated_at_ == time_point{}) {
        return std::nullopt;
    }
    return std::chrono::floor<milliseconds>(now - stated_at_);
}

void request_limit::set_share(double share, time_point now) {
    if (share != share_) {
        const double known = available(now);
        share_ = share;
        set_available(known, now);
    }
}

double request_limit::applied_rate() const {
    return std::max(min_rate, rate_.value_or(0) * share_);
}

double request_limit::max_available() const {
    return std::max(1.0, requests_in(applied_rate(), burst_time));
}

double request_limit::available(time_point now) const {
    const double grown = available_ + applied_rate() * seconds_as_double(now - available_at_).count();
    return std::min(grown, max_available());
}

void request_limit::add(double requests, time_point now) {
    if (is_in_force()) {
        set_available(available(now) + requests, now);
    }
}

void request_limit::set_available(double requests, time_point now) {
    const double max_debt = max_extra_debt + requests_in(applied_rate(), max_debt_time);
    available_ = std::clamp(requests, -max_debt, max_available());
    available_at_ = now;
}

/// Adopts a statement of the server. A limit that is new starts with no allowance, since the server has just
/// answered a request.
void request_limit::adopt(std::optional<double> rate, time_point stated_at, time_point now) {
    const double known = is_in_force() ? available(now) : 0;
    rate_ = rate ? std::optional(std::min(*rate, max_rate)) : std::nullopt;
    stated_at_ = stated_at;
    if (is_in_force()) {
        set_available(known, now);
    }
}

} // namespace eelgrassgw

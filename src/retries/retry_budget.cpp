#include "retries/retry_budget.h"

namespace eelgrassgw {

namespace {

constexpr double safe_share = 0.8; // Of the fleet's bound, since clocks and windows of routers differ.

void drop_before(std::deque<retry_budget::clock::time_point>& times, retry_budget::clock::time_point oldest) {
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

retry_budget::retry_budget(const retry_limits& limits) : limits_(limits) {}

void retry_budget::note_request(const std::string& service, clock::time_point now) {
    history& of = services_[service];
    forget_old(of, now);
    of.requests.push_back(now);
}

bool retry_budget::take(const std::string& service, clock::time_point now) {
    history& of = services_[service];
    forget_old(of, now);
    const double own_extra = limits_.extra / routers_;
    const double bound = safe_share * (limits_.ratio * static_cast<double>(of.requests.size()) + own_extra);
    if (static_cast<double>(of.repeats.size()) + 1 > bound) {
        return false;
    }
    of.repeats.push_back(now);
    return true;
}

void retry_budget::forget_old(history& of, clock::time_point now) const {
    drop_before(of.requests, now - limits_.window);
    drop_before(of.repeats, now - limits_.window);
}

} // namespace eelgrassgw

#include "retries/retry_budget.h"

namespace eelgrassgw {

namespace {

// Fraction of the fleet's limit that is used, because the clocks and windows of the routers differ.
constexpr double safety_factor = 0.8;

void drop_before(std::deque<retry_budget::clock::time_point>& times, retry_budget::clock::time_point oldest) {
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

retry_budget::retry_budget(const retry_limits& limits) : limits_(limits) {}

void retry_budget::record_request(const std::string& service, clock::time_point now) {
    history& past = histories_[service];
    drop_expired(past, now);
    past.requests.push_back(now);
}

bool retry_budget::take_retry(const std::string& service, clock::time_point now) {
    history& past = histories_[service];
    drop_expired(past, now);
    const double extra_share = limits_.extra_retries / router_count_;
    const double max_retries =
        safety_factor *
        (limits_.retries_per_request * static_cast<double>(past.requests.size()) + extra_share);
    if (static_cast<double>(past.retries.size()) + 1 > max_retries) {
        return false;
    }
    past.retries.push_back(now);
    return true;
}

void retry_budget::drop_expired(history& past, clock::time_point now) const {
    drop_before(past.requests, now - limits_.window);
    drop_before(past.retries, now - limits_.window);
}

} // namespace eelgrassgw

#pragma once

/// Limits the number of retries that this process sends to the backend servers of a service.

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace eelgrassgw {

/// The limit on retries of all routers together in a sliding window.
struct retry_limits {
    double retries_per_request = 0.1; ///< Allowed retries per request.
    double extra_retries = 10;        ///< Retries allowed in addition, whatever the number of requests.
    std::chrono::seconds window{10};  ///< Length of the sliding window.
};

/// Keeps one router within its part of the limit: the ratio of its own requests plus an equal share of the
/// extra retries. Not thread-safe.
class retry_budget {
public:
    using clock = std::chrono::steady_clock;

    explicit retry_budget(const retry_limits& limits);

    void set_limits(const retry_limits& limits) { limits_ = limits; }

    /// Sets the number of routers that share the extra retries. Precondition: `routers` > 0.
    void set_router_count(int routers) { router_count_ = routers; }

    /// Records a new request for `service`.
    void record_request(const std::string& service, clock::time_point now);

    /// Takes one retry for `service` out of the budget. Returns false if the budget is used up.
    bool take_retry(const std::string& service, clock::time_point now);

private:
    /// The requests and retries of one service within the window.
    struct history {
        std::deque<clock::time_point> requests;
        std::deque<clock::time_point> retries;
    };

    void drop_expired(history& past, clock::time_point now) const;

    retry_limits limits_;
    int router_count_ = 1;
    std::map<std::string, history> histories_;
};

} // namespace eelgrassgw

#pragma once

/// Bounds how often this process sends requests of a service once more.

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace eelgrassgw {

/// The bound that all routers together must keep, in a sliding window.
struct retry_limits {
    double ratio = 0.1; ///< Repeats for each first send.
    double extra = 10;  ///< Repeats beyond that.
    std::chrono::seconds window{10};
};

/// Each router takes the ratio of its own requests, and its part of the extra ones. Not thread-safe.
class retry_budget {
public:
    using clock = std::chrono::steady_clock;

    explicit retry_budget(const retry_limits& limits);

    void set_limits(const retry_limits& limits) { limits_ = limits; }

    /// How many routers share the extra repeats. Precondition: `routers` > 0.
    void set_routers(int routers) { routers_ = routers; }

    /// A request for `service` came in.
    void note_request(const std::string& service, clock::time_point now);

    /// Takes one repeat out of the budget; false where there is none.
    bool take(const std::string& service, clock::time_point now);

private:
    struct history {
        std::deque<clock::time_point> requests;
        std::deque<clock::time_point> repeats;
    };

    void forget_old(history& of, clock::time_point now) const;

    retry_limits limits_;
    int routers_ = 1;
    std::map<std::string, history> services_;
};

} // namespace eelgrassgw

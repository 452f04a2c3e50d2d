#pragma once

/// Defines the routes of the configuration, which assign requests to services and set their limits.

#include <chrono>
#include <string>
#include <vector>

namespace eelgrassgw {

/// The effect of running a request more than once.
enum class request_kind {
    idempotent,     ///< The request may run any number of times.
    non_idempotent, ///< The request may run at most once for each attempt of the caller.
    stream,         ///< The response is a stream of events; non-idempotent unless the route is resumable.
};

/// One of the services that a route's requests are spread over.
struct weighted_service {
    std::string service;
    unsigned weight = 0; ///< Share of the requests, relative to the route's other weights.
};

/// A rule that assigns requests to services by host and path.
struct route {
    std::string name;
    std::string host;        ///< Host name in lower case, without a port.
    std::string path_prefix; ///< Path prefix that begins and ends with a slash.
    request_kind kind = request_kind::non_idempotent;
    std::chrono::milliseconds timeout{0}; ///< Longest time until the response is complete.

    /// Target time to the response or a stream's first event.
    std::chrono::milliseconds latency_objective{0};

    int priority = 0;                       ///< Priority of the requests; 0 is the most urgent.
    std::vector<weighted_service> services; ///< Services that share the requests; never empty.
    int max_backend_servers = 1;            ///< Limit on servers tried per attempt of the caller.
    bool needs_key = true;                  ///< Whether a request must carry a customer's API key.
    bool resumable = false; ///< Whether a stream may continue at another backend server after its last event.
    bool carries_prompt = false; ///< Whether requests describe their prompt and use the customer's budget.

    /// Longest pause between two events of a stream that is still on time; 0 if not stated.
    std::chrono::milliseconds max_event_gap{0};

    /// Regions whose backend servers may run the requests; empty if all may.
    std::vector<std::string> allowed_regions;
};

/// Returns whether a request of `r` may be sent again even though another backend server may have run it.
inline bool may_run_again(const route& r) {
    return r.kind == request_kind::idempotent || (r.kind == request_kind::stream && r.resumable);
}

} // namespace eelgrassgw

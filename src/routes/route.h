#pragma once

/// A rule of the configuration: which requests go to which service, and within which limits.

#include <chrono>
#include <string>
#include <vector>

namespace eelgrassgw {

/// What a repetition of a request would do.
enum class request_kind {
    idempotent,     ///< A repetition does no harm.
    non_idempotent, ///< At most one run for each attempt of the caller.
    stream,         ///< Answered by events; non-idempotent unless the route is resumable.
};

/// One of the services that a route's requests are spread over.
struct weighted_service {
    std::string service;
    unsigned weight = 0; ///< Share of the requests, relative to the other weights of the route.
};

struct route {
    std::string name;
    std::string host;        ///< Lower case, without a port.
    std::string path_prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::non_idempotent;
    std::chrono::milliseconds timeout{0};           ///< Longest time until the final answer.
    std::chrono::milliseconds latency_objective{0}; ///< Until the answer, for streams until the first event.
    int priority = 0;                               ///< 0 is the most urgent.
    std::vector<weighted_service> services;         ///< Never empty.
    int max_backend_servers = 1;                    ///< How many may be sent one attempt of the caller.
    bool needs_key = true;
    bool resumable = false;      ///< A stream may go on at another backend server after its last event.
    bool carries_prompt = false; ///< Requests state their prompt and are paid from the customer's budget.
};

/// Whether a request of `r` may be sent again although an earlier backend server may have run it.
inline bool may_run_again(const route& r) {
    return r.kind == request_kind::idempotent || (r.kind == request_kind::stream && r.resumable);
}

} // namespace eelgrassgw

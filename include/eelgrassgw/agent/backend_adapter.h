#pragma once

/// The interface through which an agent uses its backend server.

#include "eelgrassgw/run/run.h"

#include <concepts>
#include <string>

namespace eelgrassgw {

/// The load that a backend server reports. It may be out of date.
struct backend_load {
    int running = 0;
    int queued = 0;
};

/// Adapts one kind of backend server to the agent. All calls are thread-safe.
///
/// `execute` runs the ticket once and returns the final outcome. It may return `not_run` only if the backend
/// server certainly did nothing. `take_over` stops the runs that an earlier agent started and did not finish.
template <class T>
concept backend_adapter = requires(T backend, run& r, const std::string& request_id,
                                   std::uint64_t fencing_number) {
    { backend.execute(r, fencing_number) } -> std::same_as<run_outcome>;
    { backend.cancel(request_id, fencing_number) } -> std::same_as<result<done>>;
    { backend.take_over(fencing_number) } -> std::same_as<result<done>>;
    { backend.query_load() } -> std::same_as<result<backend_load>>;
};

} // namespace eelgrassgw

#pragma once

/// What an agent needs of the backend server beside it.

#include "eelgrassgw/run/run.h"

#include <concepts>
#include <string>

namespace eelgrassgw {

/// Load as a backend server reports it, with its own lag.
struct backend_load {
    int running = 0;
    int queued = 0;
};

/// A kind of backend server. All calls are thread-safe.
///
/// `execute` runs the ticket once and returns the final outcome; it must return `not_run` only where the
/// backend server certainly did nothing. `take_over` ends whatever an earlier agent left running.
template <class T>
concept backend_adapter = requires(T backend, run& r, const std::string& request_id,
                                   std::uint64_t fencing_number) {
    { backend.execute(r, fencing_number) } -> std::same_as<run_outcome>;
    { backend.cancel(request_id, fencing_number) } -> std::same_as<result<done>>;
    { backend.take_over(fencing_number) } -> std::same_as<result<done>>;
    { backend.load() } -> std::same_as<result<backend_load>>;
};

} // namespace eelgrassgw

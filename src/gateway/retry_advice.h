#pragma once

/// Decides when callers whose requests were refused should come back.

#include <chrono>

namespace eelgrassgw {

/// Returns the Retry-After time for a request that was refused because the store has been unreachable for
/// `outage`, when the caller waits for `time_left` longer.
///
/// Answers the load of an outage of seconds: a caller comes back only once, so a caller that returns during
/// the outage is lost. An outage is expected to last on for about twice as long as it has lasted. A caller
/// waits for at most a third of its remaining time. As each caller waits from the moment of its own refusal,
/// the callers return in the order in which they were refused, spread like their arrivals.
std::chrono::milliseconds retry_after_store_outage(std::chrono::milliseconds outage,
                                                   std::chrono::milliseconds time_left);

/// Returns the Retry-After time for a request that was refused because other requests will have the room at
/// the backend servers for `backlog` longer, when the caller waits for `time_left` longer. A caller honours
/// up to a third of its remaining time.
std::chrono::milliseconds retry_after_backlog(std::chrono::milliseconds backlog,
                                              std::chrono::milliseconds time_left);

} // namespace eelgrassgw

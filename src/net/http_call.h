#pragma once

/// Sends an HTTP request and reads its whole reply; meant for control traffic.

#include "net/connection_pool.h"

namespace eelgrassgw {

/// Timeouts of one call.
struct call_timeouts {
    std::chrono::milliseconds connect{300}; ///< Longest time to open a connection.
    std::chrono::milliseconds reply{1000}; ///< Longest time from sending the request to the end of the reply.
};

/// Sends `request` once to `address` and returns the reply. Fails with `unreachable` if no connection could
/// be opened, so that nothing was sent, and with `outcome_unknown` if no whole reply arrived in time.
/// Precondition: the pool outlives the call.
task<result<text_reply>> call_http(connection_pool& pool, std::string address, text_request request,
                                   call_timeouts timeouts);

} // namespace eelgrassgw

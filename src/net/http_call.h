#pragma once

/// One whole request and reply, for control traffic.

#include "net/connection_pool.h"

namespace eelgrassgw {

struct call_timeouts {
    std::chrono::milliseconds connect{300};
    std::chrono::milliseconds reply{1000}; ///< From the sending of the request.
};

/// Sends `request` once to `address`. Errors: `unreachable` (nothing was sent) and `outcome_unknown`.
/// Precondition: the pool outlives the call.
task<result<text_reply>> call_http(connection_pool& pool, std::string address, text_request request,
                                   call_timeouts limits);

} // namespace eelgrassgw

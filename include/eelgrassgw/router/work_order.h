#pragma once

/// One admitted request on its way through the router, and how it ended.

#include "eelgrassgw/router/caller_error.h"
#include "eelgrassgw/router/routing_policy.h"
#include "eelgrassgw/run/run.h"

#include <string>

namespace eelgrassgw {

/// What shall be done.
struct work_order {
    ticket work;                 ///< Without the fields that each attempt sets.
    std::string served_name;     ///< Model or service.
    bool has_caller_key = false; ///< The request id comes from the caller's own key.
    routing_request routing;
    steady_time deadline{};
    std::size_t resume_offset = 0;
};

struct dispatch_result {
    bool ended = false;     ///< A run ended, whole or not, and settles the request.
    bool succeeded = false; ///< The caller has the whole answer.
    bool caller_gone = false;
    caller_error error;  ///< Where it did not succeed.
    run_outcome outcome; ///< Where it succeeded.
    std::string agent;
    bool replayed = false; ///< The answer is that of an earlier run under the same key.
};

} // namespace eelgrassgw

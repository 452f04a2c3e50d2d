#pragma once

/// A request that a router dispatches, and the result of the dispatch.

#include "eelgrassgw/router/caller_error.h"
#include "eelgrassgw/router/routing_policy.h"
#include "eelgrassgw/run/run.h"

#include <string>

namespace eelgrassgw {

/// Describes a request to the dispatchers.
struct work_order {
    ticket work;                 ///< Ticket without the fields that each attempt sets.
    std::string served_name;     ///< Name of the model or service.
    bool has_caller_key = false; ///< Whether the request id is derived from the caller's own key.
    routing_request routing;
    steady_time deadline{};
    std::size_t resume_offset = 0; ///< Offset of the first output byte that the caller needs.
};

/// Describes how the dispatch of a request ended.
struct dispatch_result {
    bool ended = false;               ///< Whether a run ended, completely or not, and settles the request.
    bool succeeded = false;           ///< Whether the whole answer was delivered to the sink.
    bool caller_disconnected = false; ///< Whether the caller disconnected.
    caller_error error;               ///< Error for the caller if the request did not succeed.
    run_outcome outcome;              ///< Outcome of the run if one ended.
    std::string agent;                ///< Incarnation of the agent whose run ended the request.
    bool replayed = false;            ///< Whether the answer belongs to an earlier run with the same key.
};

} // namespace eelgrassgw

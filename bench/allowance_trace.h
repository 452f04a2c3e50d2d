#pragma once

/// Traces of requests and faults for the comparison of allowance policies. A seed gives every policy the same
/// traces.

#include "eelgrassgw/base/json.h"

#include <string>
#include <vector>

namespace eelgrassgw::bench {

/// One request of a trace.
struct trace_request {
    double at_seconds = 0;
    int router = 0;
    int budget = 0;
    tokens reserve = 0;      ///< Tokens reserved for the worst case.
    tokens used = 0;         ///< Tokens that the request uses in the end.
    double busy_seconds = 0; ///< Time from admission to settlement.
};

/// Kinds of events that occur during a trace.
enum class trace_event_kind {
    top_up,
    router_disconnects,
    router_reconnects,
    object_api_stops,
    object_api_restarts,
    router_dies
};

/// Fault, recovery from a fault, or top-up at a point in time.
struct trace_event {
    double at_seconds = 0;
    trace_event_kind kind = trace_event_kind::top_up;
    int router = 0;
    int budget = 0;
    tokens amount = 0;
};

/// Requests and events of one scenario of one deployment.
struct trace {
    std::string deployment;
    std::string scenario;
    unsigned seed = 0;
    int routers = 4;                     ///< Number of routers.
    std::vector<tokens> paid;            ///< Tokens paid into each budget at the start.
    std::vector<trace_request> requests; ///< Requests in the order of their time.
    std::vector<trace_event> events;     ///< Events in the order of their time.
};

/// Returns the traces of all scenarios of both deployments.
std::vector<trace> make_traces(unsigned seed);

} // namespace eelgrassgw::bench

#pragma once

/// Traces and faults for comparing allowance policies: the same for every policy, by seed.

#include "eelgrassgw/base/json.h"

#include <string>
#include <vector>

namespace eelgrassgw::bench {

/// One request of a trace.
struct trace_request {
    double at_seconds = 0;
    int router = 0;
    int budget = 0;
    tokens reserve = 0;      ///< Worst case.
    tokens used = 0;         ///< What it uses in the end.
    double busy_seconds = 0; ///< From admission to settlement.
};

enum class trace_event_kind { top_up, router_cut, router_back, api_down, api_up, router_dies };

struct trace_event {
    double at_seconds = 0;
    trace_event_kind kind = trace_event_kind::top_up;
    int router = 0;
    int budget = 0;
    tokens amount = 0;
};

struct trace {
    std::string deployment;
    std::string scenario;
    unsigned seed = 0;
    int routers = 4;
    std::vector<tokens> paid;            ///< Of each budget.
    std::vector<trace_request> requests; ///< By time.
    std::vector<trace_event> events;     ///< By time.
};

/// All traces of both deployments.
std::vector<trace> make_traces(unsigned seed);

} // namespace eelgrassgw::bench

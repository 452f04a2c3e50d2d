/// Builds the traces of the allowance benchmark from workloads and scenarios.

#include "bench/allowance_trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace eelgrassgw::bench {

namespace {

constexpr int routers_per_deployment = 4; ///< Number of routers, one in each data centre.
constexpr double default_duration_seconds = 1500;

/// Traffic of a deployment's customers.
struct workload {
    std::string deployment;
    int customers = 10;
    double requests_per_second = 6;
    double short_share = 0.5;   ///< Share of requests for short texts; the others ask for long texts.
    double booking_share = 0.0; ///< Share of bookings among the requests.
    tokens long_tokens = 900;   ///< Maximum number of tokens generated for a long text.
    tokens short_tokens = 120;  ///< Maximum number of tokens generated for a short text.
    tokens prompt_bytes = 1200;
};

/// Duration, budgets and faults that a trace is made from.
struct scenario {
    std::string name;
    double duration_seconds = default_duration_seconds;
    double paid_to_used_ratio = 3;   ///< Ratio of the tokens paid in to the tokens that the trace would use.
    double burst_start_seconds = -1; ///< Start of a burst of one customer's requests; negative for no burst.
    bool mixes_bookings = false;
    std::vector<trace_event> events;
};

std::vector<workload> workloads() {
    workload ikoyi;
    ikoyi.deployment = "ikoyi";
    workload officina;
    officina.deployment = "officina";
    officina.requests_per_second = 5;
    officina.short_share = 0.35;
    officina.long_tokens = 1600;
    officina.prompt_bytes = 3000;
    return {ikoyi, officina};
}

/// Returns events that kill one router each minute, in rotation.
std::vector<trace_event> router_deaths(double duration_seconds) {
    std::vector<trace_event> events;
    int router = 0;
    for (double at = 60; at < duration_seconds; at += 60) {
        events.push_back({at, trace_event_kind::router_dies, router++ % routers_per_deployment, 0, 0});
    }
    return events;
}

/// Returns top-ups of every budget while two of the routers cannot reach the object API.
std::vector<trace_event> top_ups_in_partition(int customers) {
    std::vector<trace_event> events = {{300, trace_event_kind::router_disconnects, 0, 0, 0},
                                       {300, trace_event_kind::router_disconnects, 1, 0, 0}};
    for (int budget = 0; budget < customers; ++budget) {
        events.push_back({600, trace_event_kind::top_up, 0, budget, 0}); // make_trace sets the amount.
    }
    events.push_back({900, trace_event_kind::router_reconnects, 0, 0, 0});
    events.push_back({900, trace_event_kind::router_reconnects, 1, 0, 0});
    return events;
}

std::vector<scenario> scenarios(int customers) {
    std::vector<scenario> all;
    all.push_back({"steady", default_duration_seconds, 3, -1, false, {}});
    all.push_back({"burst", default_duration_seconds, 3, 600, false, {}});
    all.push_back({"nearly_empty", default_duration_seconds, 0.6, -1, false, {}});
    all.push_back(
        {"top_up_in_partition", default_duration_seconds, 0.5, -1, false, top_ups_in_partition(customers)});
    all.push_back({"object_api_down_10_min",
                   default_duration_seconds,
                   3,
                   -1,
                   false,
                   {{600, trace_event_kind::object_api_stops, 0, 0, 0},
                    {1200, trace_event_kind::object_api_restarts, 0, 0, 0}}});
    all.push_back({"partition_1_h",
                   2 * default_duration_seconds + 900,
                   3,
                   -1,
                   false,
                   {{600, trace_event_kind::router_disconnects, 0, 0, 0},
                    {4200, trace_event_kind::router_reconnects, 0, 0, 0}}});
    all.push_back({"routers_die_each_minute", default_duration_seconds, 1.2, -1, false,
                   router_deaths(default_duration_seconds)});
    all.push_back({"bookings_mixed_in", default_duration_seconds, 0.8, -1, true, {}});
    return all;
}

/// Draws a customer by the weights 1, 1/2, 1/3, ..., so that a few customers send most of the requests.
int draw_customer(int customers, std::mt19937& random) {
    std::vector<double> weights;
    weights.reserve(static_cast<std::size_t>(customers));
    for (int i = 0; i < customers; ++i) {
        weights.push_back(1.0 / (i + 1));
    }
    std::discrete_distribution<int> draw(weights.begin(), weights.end());
    return draw(random);
}

trace_request draw_request(const workload& w, const scenario& s, double at, std::mt19937& random) {
    std::uniform_real_distribution<double> unit(0, 1);
    trace_request r;
    r.at_seconds = at;
    r.budget = draw_customer(w.customers, random);
    r.router = static_cast<int>(random() % routers_per_deployment);
    constexpr double mixed_booking_share = 0.2;
    if (s.mixes_bookings && unit(random) < mixed_booking_share) {
        r.reserve = 5;
        r.used = 5;
        r.busy_seconds = 0.05;
        return r;
    }
    const tokens max_generated = unit(random) < w.short_share ? w.short_tokens : w.long_tokens;
    const auto generated =
        static_cast<tokens>(static_cast<double>(max_generated) * (0.3 + 0.7 * unit(random)));
    constexpr tokens bytes_per_token = 4;
    r.reserve = w.prompt_bytes + max_generated;
    r.used = w.prompt_bytes / bytes_per_token + generated;
    constexpr double seconds_per_token = 0.02;
    r.busy_seconds = 0.3 + seconds_per_token * static_cast<double>(generated);
    return r;
}

trace make_trace(const workload& w, const scenario& s, unsigned seed) {
    std::mt19937 random(seed);
    trace t;
    t.deployment = w.deployment;
    t.scenario = s.name;
    t.seed = seed;
    t.routers = routers_per_deployment;
    t.events = s.events;
    std::exponential_distribution<double> gap(w.requests_per_second);
    std::vector<tokens> used_by_budget(static_cast<std::size_t>(w.customers));
    for (double at = gap(random); at < s.duration_seconds; at += gap(random)) {
        trace_request r = draw_request(w, s, at, random);
        constexpr double burst_seconds = 120;
        const bool in_burst = s.burst_start_seconds >= 0 && at > s.burst_start_seconds &&
                              at < s.burst_start_seconds + burst_seconds;
        if (in_burst &&
            random() % 3 != 0) { // Two thirds of all requests then come from one customer and data centre.
            r.budget = 0;
            r.router = 0;
        }
        used_by_budget[static_cast<std::size_t>(r.budget)] += r.used;
        t.requests.push_back(r);
    }
    for (const tokens used : used_by_budget) {
        t.paid.push_back(static_cast<tokens>(static_cast<double>(used) * s.paid_to_used_ratio));
    }
    for (trace_event& event : t.events) {
        event.amount = t.paid[static_cast<std::size_t>(event.budget)];
    }
    return t;
}

} // namespace

std::vector<trace> make_traces(unsigned seed) {
    std::vector<trace> traces;
    for (const workload& w : workloads()) {
        for (const scenario& s : scenarios(w.customers)) {
            traces.push_back(make_trace(w, s, seed));
        }
    }
    return traces;
}

} // namespace eelgrassgw::bench

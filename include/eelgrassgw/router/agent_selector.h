#pragma once

/// Determines the order in which a router tries agents, from the load and failures that it observed.

#include "eelgrassgw/ledger/allowance_book.h"
#include "eelgrassgw/membership/member.h"
#include "eelgrassgw/router/routing_policy.h"

#include <map>
#include <mutex>

namespace eelgrassgw {

/// Orders agents for each request and keeps the observations that the order depends on. Thread-safe.
class agent_selector {
public:
    /// Returns `agents` in the order to try. A request with the caller's own key always gets the same order,
    /// so that a repetition finds its earlier run. For other requests, `bounded_affinity_policy` chooses the
    /// first agent.
    std::vector<agent_member> order_agents(std::vector<agent_member> agents, const routing_request& request,
                                           bool has_caller_key, steady_time now) const;

    /// Counts a request that begins at the agent incarnation `agent`.
    void begin_request(const std::string& agent);

    /// Removes a settled request from the count of the agent incarnation `agent`.
    void end_request(const std::string& agent);

    /// Returns the number of this router's unsettled requests at `agent`.
    int in_flight(const std::string& agent) const;

    /// Records the load that `agent` reported, as the number of its running and waiting requests.
    void record_load(const std::string& agent, int load);

    /// Places `agent` last until a backoff has passed. The backoff doubles with each consecutive failure.
    void mark_unreachable(const std::string& agent, steady_time now);

    /// Ends the backoff of `agent`.
    void mark_reachable(const std::string& agent);

private:
    /// Observations about one agent incarnation.
    struct agent_record {
        int in_flight = 0;            ///< Number of this router's unsettled requests.
        int reported_load = 0;        ///< Number of requests that the agent last reported.
        int consecutive_failures = 0; ///< Number of consecutive failures to reach the agent.
        steady_time backoff_until{};  ///< End of the backoff.
    };

    std::vector<routing_candidate> make_candidates(const std::vector<agent_member>& agents) const;
    void order_by_policy(std::vector<agent_member>& agents, const routing_request& request) const;
    int estimated_load(const agent_member& agent) const;
    bool is_in_backoff(const agent_member& agent, steady_time now) const;

    mutable std::mutex mutex_;
    std::map<std::string, agent_record> records_; ///< Observations by agent incarnation.
    bounded_affinity_policy policy_;
};

} // namespace eelgrassgw

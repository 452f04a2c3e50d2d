#pragma once

/// The order in which a router tries agents, and what it remembers of them.

#include "eelgrassgw/ledger/allowance_book.h"
#include "eelgrassgw/membership/member.h"
#include "eelgrassgw/router/routing_policy.h"

#include <map>
#include <mutex>

namespace eelgrassgw {

/// Thread-safe.
class agent_selector {
public:
    /// Agents in the order to try. A request with the caller's own key always gets the same order, so that a
    /// repeated one finds its earlier run; any other is placed by `bounded_affinity_policy`.
    std::vector<agent_member> order(std::vector<agent_member> agents, const routing_request& request,
                                    bool has_caller_key, steady_time now) const;

    void begin(const std::string& agent);
    void end(const std::string& agent);

    /// This router's requests at `agent` that are not settled.
    int in_flight(const std::string& agent) const;

    /// Notes the load that `agent` reported.
    void note_load(const std::string& agent, int load);

    /// Places `agent` last for a while, longer after each failure in a row.
    void note_unreachable(const std::string& agent, steady_time now);
    void note_reachable(const std::string& agent);

private:
    struct agent_memory {
        int in_flight = 0;
        int reported_load = 0;
        int failures_in_row = 0;
        steady_time avoid_until{};
    };

    std::vector<routing_candidate> candidates(const std::vector<agent_member>& agents) const;
    void order_by_policy(std::vector<agent_member>& agents, const routing_request& request) const;
    int estimated_load(const agent_member& agent) const;
    bool is_avoided(const agent_member& agent, steady_time now) const;

    mutable std::mutex mutex_;
    std::map<std::string, agent_memory> memory_; ///< By agent incarnation.
    bounded_affinity_policy policy_;
};

} // namespace eelgrassgw

#include "eelgrassgw/router/agent_selector.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

constexpr std::chrono::milliseconds initial_backoff{500};
constexpr int max_backoff_doublings = 5;

/// Orders agents by rendezvous hashing, which depends only on the request and the backend servers.
void order_by_key(std::vector<agent_member>& agents, const std::string& request_id) {
    const std::uint64_t hash = stable_hash(request_id);
    std::sort(agents.begin(), agents.end(), [&](const agent_member& a, const agent_member& b) {
        return rendezvous_score(a.backend_server, hash) > rendezvous_score(b.backend_server, hash);
    });
}

} // namespace

std::vector<agent_member> agent_selector::order_agents(std::vector<agent_member> agents,
                                                       const routing_request& request, bool has_caller_key,
                                                       steady_time now) const {
    const std::lock_guard lock(mutex_);
    if (has_caller_key) {
        order_by_key(agents, request.request_id);
        return agents;
    }
    std::vector<agent_member> ordered;
    std::vector<agent_member> backed_off;
    for (agent_member& agent : agents) {
        (is_in_backoff(agent, now) ? backed_off : ordered).push_back(std::move(agent));
    }
    order_by_policy(ordered, request);
    ordered.insert(ordered.end(), backed_off.begin(), backed_off.end());
    return ordered;
}

/// Places the agent that the policy chooses first, and orders the others by load.
void agent_selector::order_by_policy(std::vector<agent_member>& agents,
                                     const routing_request& request) const {
    if (agents.empty()) {
        return;
    }
    const std::size_t chosen = policy_.choose(make_candidates(agents), request);
    std::swap(agents.front(), agents[chosen]);
    std::sort(agents.begin() + 1, agents.end(), [this](const agent_member& a, const agent_member& b) {
        return estimated_load(a) < estimated_load(b);
    });
}

int agent_selector::estimated_load(const agent_member& agent) const {
    const auto it = records_.find(agent.incarnation);
    return it == records_.end() ? 0 : it->second.in_flight + it->second.reported_load;
}

std::vector<routing_candidate>
agent_selector::make_candidates(const std::vector<agent_member>& agents) const {
    std::vector<routing_candidate> found;
    for (const agent_member& agent : agents) {
        const auto it = records_.find(agent.incarnation);
        const agent_record record = it == records_.end() ? agent_record{} : it->second;
        found.push_back({agent.backend_server, record.in_flight, record.reported_load});
    }
    return found;
}

bool agent_selector::is_in_backoff(const agent_member& agent, steady_time now) const {
    const auto it = records_.find(agent.incarnation);
    return it != records_.end() && it->second.backoff_until > now;
}

void agent_selector::begin_request(const std::string& agent) {
    const std::lock_guard lock(mutex_);
    ++records_[agent].in_flight;
}

void agent_selector::end_request(const std::string& agent) {
    const std::lock_guard lock(mutex_);
    --records_[agent].in_flight;
}

int agent_selector::in_flight(const std::string& agent) const {
    const std::lock_guard lock(mutex_);
    const auto it = records_.find(agent);
    return it == records_.end() ? 0 : it->second.in_flight;
}

void agent_selector::record_load(const std::string& agent, int load) {
    const std::lock_guard lock(mutex_);
    records_[agent].reported_load = load;
}

void agent_selector::mark_unreachable(const std::string& agent, steady_time now) {
    const std::lock_guard lock(mutex_);
    agent_record& record = records_[agent];
    const int doublings = std::min(record.consecutive_failures++, max_backoff_doublings);
    record.backoff_until = now + initial_backoff * (1 << doublings);
}

void agent_selector::mark_reachable(const std::string& agent) {
    const std::lock_guard lock(mutex_);
    records_[agent].consecutive_failures = 0;
    records_[agent].backoff_until = {};
}

} // namespace eelgrassgw

#include "eelgrassgw/router/agent_selector.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

constexpr std::chrono::milliseconds first_avoidance{500};
constexpr int most_doublings = 5;

void order_by_key(std::vector<agent_member>& agents, const std::string& request_id) {
    const std::uint64_t hash = stable_hash(request_id);
    std::sort(agents.begin(), agents.end(), [&](const agent_member& a, const agent_member& b) {
        return rendezvous_score(a.backend_server, hash) > rendezvous_score(b.backend_server, hash);
    });
}

} // namespace

std::vector<agent_member> agent_selector::order(std::vector<agent_member> agents,
                                                const routing_request& request, bool has_caller_key,
                                                steady_time now) const {
    const std::lock_guard lock(mutex_);
    if (has_caller_key) {
        order_by_key(agents, request.request_id);
        return agents;
    }
    std::vector<agent_member> ordered;
    std::vector<agent_member> avoided;
    for (agent_member& agent : agents) {
        (is_avoided(agent, now) ? avoided : ordered).push_back(std::move(agent));
    }
    order_by_policy(ordered, request);
    ordered.insert(ordered.end(), avoided.begin(), avoided.end());
    return ordered;
}

/// The policy's choice first, then the others by load.
void agent_selector::order_by_policy(std::vector<agent_member>& agents,
                                     const routing_request& request) const {
    if (agents.empty()) {
        return;
    }
    const std::size_t chosen = policy_.choose(candidates(agents), request);
    std::swap(agents.front(), agents[chosen]);
    std::sort(agents.begin() + 1, agents.end(), [this](const agent_member& a, const agent_member& b) {
        return estimated_load(a) < estimated_load(b);
    });
}

int agent_selector::estimated_load(const agent_member& agent) const {
    const auto it = memory_.find(agent.incarnation);
    return it == memory_.end() ? 0 : it->second.in_flight + it->second.reported_load;
}

std::vector<routing_candidate> agent_selector::candidates(const std::vector<agent_member>& agents) const {
    std::vector<routing_candidate> found;
    for (const agent_member& agent : agents) {
        const auto it = memory_.find(agent.incarnation);
        const agent_memory memory = it == memory_.end() ? agent_memory{} : it->second;
        found.push_back({agent.backend_server, memory.in_flight, memory.reported_load});
    }
    return found;
}

bool agent_selector::is_avoided(const agent_member& agent, steady_time now) const {
    const auto it = memory_.find(agent.incarnation);
    return it != memory_.end() && it->second.avoid_until > now;
}

void agent_selector::begin(const std::string& agent) {
    const std::lock_guard lock(mutex_);
    ++memory_[agent].in_flight;
}

void agent_selector::end(const std::string& agent) {
    const std::lock_guard lock(mutex_);
    --memory_[agent].in_flight;
}

int agent_selector::in_flight(const std::string& agent) const {
    const std::lock_guard lock(mutex_);
    const auto it = memory_.find(agent);
    return it == memory_.end() ? 0 : it->second.in_flight;
}

void agent_selector::note_load(const std::string& agent, int load) {
    const std::lock_guard lock(mutex_);
    memory_[agent].reported_load = load;
}

void agent_selector::note_unreachable(const std::string& agent, steady_time now) {
    const std::lock_guard lock(mutex_);
    agent_memory& memory = memory_[agent];
    const int doublings = std::min(memory.failures_in_row++, most_doublings);
    memory.avoid_until = now + first_avoidance * (1 << doublings);
}

void agent_selector::note_reachable(const std::string& agent) {
    const std::lock_guard lock(mutex_);
    memory_[agent].failures_in_row = 0;
    memory_[agent].avoid_until = {};
}

} // namespace eelgrassgw

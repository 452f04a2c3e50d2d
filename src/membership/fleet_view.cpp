#include "eelgrassgw/membership/fleet_view.h"

#include <algorithm>

namespace eelgrassgw {

void fleet_view::apply_agent_changes(const object_changes& changes) {
    const std::lock_guard lock(mutex_);
    for (const stored_object& object : changes.changed) {
        if (object.version == absent_version) {
            agents_.erase(object.key);
            continue;
        }
        const result<agent_member> agent = agent_member::from_object(object);
        if (agent) {
            update_if_newer(object.key, agent.value());
        }
    }
}

void fleet_view::update_agent(const agent_member& agent) {
    const std::lock_guard lock(mutex_);
    update_if_newer(agent_key(agent.backend_server), agent);
}

void fleet_view::update_if_newer(const std::string& key, const agent_member& agent) {
    const auto it = agents_.find(key);
    if (it == agents_.end() || it->second.version <= agent.version) {
        agents_[key] = agent;
    }
}

void fleet_view::apply_router_changes(const object_changes& changes) {
    const std::lock_guard lock(mutex_);
    for (const stored_object& object : changes.changed) {
        if (object.version == absent_version) {
            routers_.erase(object.key);
            continue;
        }
        const result<router_member> router = router_member::from_object(object);
        if (router) {
            routers_[object.key] = router.value();
        }
    }
}

std::vector<agent_member> fleet_view::agents_serving(const configuration& current_configuration,
                                                     const std::string& name) const {
    std::vector<agent_member> found = agents_serving_in_any_state(current_configuration, name);
    std::erase_if(found, [](const agent_member& agent) { return agent.state != member_state::live; });
    return found;
}

std::vector<agent_member> fleet_view::agents_serving_in_any_state(const configuration& current_configuration,
                                                                  const std::string& name) const {
    const std::lock_guard lock(mutex_);
    std::vector<agent_member> found;
    for (const auto& [key, agent] : agents_) {
        const backend_server_definition* server =
            current_configuration.find_backend_server(agent.backend_server);
        if (server != nullptr && server->serves_name(name)) {
            found.push_back(agent);
        }
    }
    return found;
}

std::vector<agent_member> fleet_view::agents() const {
    const std::lock_guard lock(mutex_);
    std::vector<agent_member> found;
    for (const auto& [key, agent] : agents_) {
        found.push_back(agent);
    }
    return found;
}

std::optional<agent_member> fleet_view::find_agent(const std::string& backend_server) const {
    const std::lock_guard lock(mutex_);
    const auto it = agents_.find(agent_key(backend_server));
    return it == agents_.end() ? std::nullopt : std::optional(it->second);
}

std::optional<agent_member> fleet_view::find_agent_incarnation(const std::string& incarnation) const {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, agent] : agents_) {
        if (agent.incarnation == incarnation) {
            return agent;
        }
    }
    return std::nullopt;
}

bool fleet_view::has_closed(const std::string& agent_incarnation) const {
    const std::optional<agent_member> agent = find_agent_incarnation(agent_incarnation);
    return agent && agent->state == member_state::closed;
}

std::vector<router_member> fleet_view::routers() const {
    const std::lock_guard lock(mutex_);
    std::vector<router_member> found;
    for (const auto& [key, router] : routers_) {
        found.push_back(router);
    }
    return found;
}

std::optional<router_member> fleet_view::find_router(const std::string& incarnation) const {
    const std::lock_guard lock(mutex_);
    const auto it = routers_.find(router_key(incarnation));
    return it == routers_.end() ? std::nullopt : std::optional(it->second);
}

std::size_t fleet_view::live_router_count() const {
    const std::lock_guard lock(mutex_);
    const auto n = std::count_if(routers_.begin(), routers_.end(),
                                 [](const auto& entry) { return entry.second.state == member_state::live; });
    return std::max<std::size_t>(static_cast<std::size_t>(n), 1);
}

} // namespace eelgrassgw

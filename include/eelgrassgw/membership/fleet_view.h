#pragma once

/// What a router knows of the fleet's agents and routers; old news by nature.

#include "eelgrassgw/configuration/configuration.h"
#include "eelgrassgw/membership/member.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace eelgrassgw {

/// Thread-safe. Never proof of anything: it only decides what is tried.
class fleet_view {
public:
    void apply_agent_changes(const object_changes& changes);
    /// Takes in one agent's entry, for example from the agent itself. An older one than is known changes
    /// nothing.
    void update_agent(const agent_member& agent);

    void apply_router_changes(const object_changes& changes);

    /// Live agents whose backend server serves `name` under `in_force`.
    std::vector<agent_member> agents_serving(const configuration& current_configuration,
                                             const std::string& name) const;

    /// As above, with those that are leaving or have left: they may know earlier runs of a repeated key.
    std::vector<agent_member> agents_in_any_state(const configuration& current_configuration,
                                                  const std::string& name) const;

    std::vector<agent_member> agents() const;
    std::optional<agent_member> find_agent(const std::string& backend_server) const;
    std::optional<agent_member> find_agent_incarnation(const std::string& incarnation) const;

    /// Whether the agent incarnation stopped as planned.
    bool has_closed(const std::string& agent_incarnation) const;

    std::vector<router_member> routers() const;
    std::optional<router_member> find_router(const std::string& incarnation) const;

    /// Routers that may draw on budgets; at least 1.
    std::size_t live_router_count() const;

private:
    void update_if_newer(const std::string& key, const agent_member& agent);

    mutable std::mutex mutex_;
    std::map<std::string, agent_member> agents_;   ///< By key.
    std::map<std::string, router_member> routers_; ///< By key.
};

} // namespace eelgrassgw

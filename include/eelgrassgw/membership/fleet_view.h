#pragma once

/// A router's view of the agents and routers in the fleet, which may be out of date.

#include "eelgrassgw/configuration/configuration.h"
#include "eelgrassgw/membership/member.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace eelgrassgw {

/// Caches the registration entries of agents and routers. Because the cache may be out of date, callers use
/// it only to choose which processes to contact. Thread-safe.
class fleet_view {
public:
    void apply_agent_changes(const object_changes& changes);
    /// Updates the entry of one agent, for example with an entry that the agent itself sent. Ignores an entry
    /// that is older than the known one.
    void update_agent(const agent_member& agent);

    void apply_router_changes(const object_changes& changes);

    /// Returns the live agents whose backend server serves `name` according to `current_configuration`.
    std::vector<agent_member> agents_serving(const configuration& current_configuration,
                                             const std::string& name) const;

    /// Returns the agents whose backend server serves `name` in any state. Draining and closed agents are
    /// included because they may know earlier runs of a repeated key.
    std::vector<agent_member> agents_serving_in_any_state(const configuration& current_configuration,
                                                          const std::string& name) const;

    std::vector<agent_member> agents() const;
    std::optional<agent_member> find_agent(const std::string& backend_server) const;
    std::optional<agent_member> find_agent_incarnation(const std::string& incarnation) const;

    /// Returns true if the agent incarnation closed its entry at a planned stop.
    bool has_closed(const std::string& agent_incarnation) const;

    std::vector<router_member> routers() const;
    std::optional<router_member> find_router(const std::string& incarnation) const;

    /// Returns the number of live routers, which may draw on the budgets; at least 1.
    std::size_t live_router_count() const;

private:
    void update_if_newer(const std::string& key, const agent_member& agent);

    mutable std::mutex mutex_;
    std::map<std::string, agent_member> agents_;   ///< Agents by the key of their entry.
    std::map<std::string, router_member> routers_; ///< Routers by the key of their entry.
};

} // namespace eelgrassgw

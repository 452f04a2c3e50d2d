#pragma once

/// What a router knows of agents that have left: which requests with a key ran there.

#include "eelgrassgw/membership/request_memory.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

namespace eelgrassgw {

/// Reads what each departed agent left behind once, when it is first needed. Thread-safe.
template <object_store Store>
class departed_agents {
public:
    explicit departed_agents(Store& store) : memory_(store) {}

    /// Whether `request_id` may have run at `closed`, a closed agent. Errors: the object API cannot be asked.
    result<bool> may_have_run(const agent_member& closed, const std::string& request_id) {
        const std::optional<bool> known = look_up(closed, request_id);
        if (known) {
            return *known;
        }
        const result<std::vector<std::string>> ids =
            memory_.read(closed.backend_server); // Unlocked: it may wait.
        if (!ids) {
            return ids.error();
        }
        const std::lock_guard lock(mutex_);
        known_agent& agent = known_[closed.backend_server];
        agent.incarnation = closed.incarnation;
        agent.request_ids = {ids.value().begin(), ids.value().end()};
        return agent.request_ids.contains(request_id);
    }

private:
    /// What is known without asking; nothing where `closed` was not read yet.
    std::optional<bool> look_up(const agent_member& closed, const std::string& request_id) {
        const std::lock_guard lock(mutex_);
        const auto it = known_.find(closed.backend_server);
        if (it == known_.end() || it->second.incarnation != closed.incarnation) {
            return std::nullopt;
        }
        return it->second.request_ids.contains(request_id);
    }

    struct known_agent {
        std::string incarnation;
        std::unordered_set<std::string> request_ids;
    };

    request_memory<Store> memory_;
    std::mutex mutex_;
    std::map<std::string, known_agent> known_; ///< By backend server.
};

} // namespace eelgrassgw

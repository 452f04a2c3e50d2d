#pragma once

/// What a router knows of agents that have left: which requests with a key ran there.

#include "eelgrassgw/membership/request_memory.h"

#include <map>
#include <memory>
#include <mutex>
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
        const std::lock_guard lock(mutex_);
        known_agent& known = known_[closed.backend_server];
        if (known.incarnation != closed.incarnation) {
            const result<std::vector<std::string>> ids = memory_.read(closed.backend_server);
            if (!ids) {
                return ids.error();
            }
            known.incarnation = closed.incarnation;
            known.request_ids = {ids.value().begin(), ids.value().end()};
        }
        return known.request_ids.contains(request_id);
    }

private:
    struct known_agent {
        std::string incarnation;
        std::unordered_set<std::string> request_ids;
    };

    request_memory<Store> memory_;
    std::mutex mutex_;
    std::map<std::string, known_agent> known_; ///< By backend server.
};

} // namespace eelgrassgw

#pragma once

/// Caches which requests with a caller's key ran at agents that have shut down.

#include "eelgrassgw/membership/request_memory.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

namespace eelgrassgw {

/// Reads the request ids that a departed agent stored when they are first needed, and caches them.
/// Thread-safe.
template <object_store Store>
class departed_agents {
public:
    explicit departed_agents(Store& store) : memory_(store) {}

    /// Returns whether `request_id` may have run at `closed`, an agent that has shut down. Fails if the
    /// object API is unreachable.
    result<bool> may_have_run(const agent_member& closed, const std::string& request_id) {
        const std::optional<bool> known = find_cached(closed, request_id);
        if (known) {
            return *known;
        }
        // The lock is not held here, since the read may block.
        const result<std::vector<std::string>> ids = memory_.read(closed.backend_server);
        if (!ids) {
            return ids.error();
        }
        const std::lock_guard lock(mutex_);
        cached_agent& agent = cache_[closed.backend_server];
        agent.incarnation = closed.incarnation;
        agent.request_ids = {ids.value().begin(), ids.value().end()};
        return agent.request_ids.contains(request_id);
    }

private:
    /// Returns the cached answer, or nothing if the request ids of `closed` are not in the cache.
    std::optional<bool> find_cached(const agent_member& closed, const std::string& request_id) {
        const std::lock_guard lock(mutex_);
        const auto it = cache_.find(closed.backend_server);
        if (it == cache_.end() || it->second.incarnation != closed.incarnation) {
            return std::nullopt;
        }
        return it->second.request_ids.contains(request_id);
    }

    /// The request ids that one agent incarnation stored.
    struct cached_agent {
        std::string incarnation;
        std::unordered_set<std::string> request_ids;
    };

    request_memory<Store> memory_;
    std::mutex mutex_;
    std::map<std::string, cached_agent> cache_; ///< Cached request ids by backend server.
};

} // namespace eelgrassgw

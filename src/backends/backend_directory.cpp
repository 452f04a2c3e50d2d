#include "backends/backend_directory.h"

#include <set>

namespace eelgrassgw {

std::int64_t tracked_backend::known_unread_tokens(clock::time_point now) const {
    std::int64_t n = unread_tokens;
    for (const auto& [key, prompt] : announced_prompts) {
        n += prompt.expires_at > now ? prompt.tokens : 0;
    }
    return n;
}

void backend_directory::replace_all(const std::vector<entry>& listed, bool after_outage,
                                    clock::time_point now) {
    std::set<std::string> present;
    for (const entry& each : listed) {
        present.insert(each.server.id);
        put(each);
    }
    std::vector<std::string> absent;
    for (const auto& [id, tracked] : by_id_) {
        if (!present.contains(id)) {
            absent.push_back(id);
        }
    }
    for (const std::string& id : absent) {
        remove(id, by_id_.at(id)->revision + 1, after_outage, now);
    }
}

void backend_directory::put(const entry& listed) {
    std::shared_ptr<tracked_backend>& tracked = by_id_[listed.server.id];
    if (tracked == nullptr) {
        tracked = std::make_shared<tracked_backend>();
    }
    if (listed.revision < tracked->revision) {
        return;
    }
    if (tracked->server.started_ms != listed.server.started_ms) {
        tracked->avoid_until = {};
    }
    tracked->server = listed.server;
    tracked->revision = listed.revision;
    tracked->missing_since = {};
}

void backend_directory::remove(const std::string& id, std::uint64_t revision, bool after_outage,
                               clock::time_point now) {
    const auto it = by_id_.find(id);
    if (it == by_id_.end() || revision < it->second->revision) {
        return;
    }
    if (!after_outage || it->second->server.draining) {
        erase_entry(id);
        return;
    }
    if (!it->second->is_missing()) {
        it->second->missing_since = now;
    }
}

std::size_t backend_directory::remove_lapsed(clock::time_point now) {
    std::vector<std::string> expired;
    for (const auto& [id, tracked] : by_id_) {
        if (tracked->is_missing() && now - tracked->missing_since >= lapse_grace_period) {
            expired.push_back(id);
        }
    }
    for (const std::string& id : expired) {
        erase_entry(id);
    }
    return expired.size();
}

std::shared_ptr<tracked_backend> backend_directory::find(const std::string& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<tracked_backend>>
backend_directory::ready_servers(const std::string& service) const {
    std::vector<std::shared_ptr<tracked_backend>> ready;
    for (const auto& [id, tracked] : by_id_) {
        if (tracked->server.service == service && !tracked->server.draining) {
            ready.push_back(tracked);
        }
    }
    return ready;
}

std::vector<std::shared_ptr<tracked_backend>> backend_directory::all() const {
    std::vector<std::shared_ptr<tracked_backend>> servers;
    for (const auto& [id, tracked] : by_id_) {
        servers.push_back(tracked);
    }
    return servers;
}

void backend_directory::erase_entry(const std::string& id) {
    by_id_.at(id)->removed = true;
    by_id_.erase(id);
}

} // namespace eelgrassgw

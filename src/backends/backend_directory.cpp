#include "backends/backend_directory.h"

#include <algorithm>
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
        put(each, now);
    }
    std::vector<std::string> absent;
    for (const auto& [id, tracked] : by_id_) {
        if (!present.contains(id)) {
            absent.push_back(id);
        }
    }
    for (const std::string& id : absent) {
        const store_position known = by_id_.at(id)->position;
        remove(id, {known.era, known.revision + 1}, after_outage, now);
    }
}

void backend_directory::put(const entry& listed, clock::time_point now) {
    std::shared_ptr<tracked_backend>& tracked = by_id_[listed.server.id];
    if (tracked == nullptr) {
        tracked = std::make_shared<tracked_backend>();
        tracked->server.started_ms = listed.server.started_ms;
        apply_departure(*tracked, listed, now);
    }
    if (listed.position < tracked->position) {
        return;
    }
    const bool same_incarnation = tracked->server.started_ms == listed.server.started_ms;
    const bool restored = listed.position.era > tracked->position.era;
    if (same_incarnation && restored && tracked->server.draining && !listed.server.draining) {
        tracked->doubted_until = now + restored_entry_doubt;
    }
    if (!same_incarnation) {
        tracked->avoid_until = {};
        tracked->paused_until = {};
        tracked->doubted_until = {};
        tracked->leaving = false;
        tracked->limit = {};
        tracked->speed = {};
        tracked->read_parts = {};
    }
    tracked->server = listed.server;
    tracked->position = listed.position;
    tracked->missing_since = {};
}

/// Applies what is known of a server that was gone and is listed again.
void backend_directory::apply_departure(tracked_backend& tracked, const entry& listed,
                                        clock::time_point now) const {
    const auto it = departed_.find(listed.server.id);
    if (it == departed_.end() || it->second.started_ms != listed.server.started_ms) {
        return;
    }
    tracked.leaving = it->second.leaving;
    tracked.limit = it->second.limit;
    if (listed.position.era > it->second.era) {
        tracked.doubted_until = now + restored_entry_doubt;
    }
}

void backend_directory::remove(const std::string& id, const store_position& position, bool after_outage,
                               clock::time_point now) {
    const auto it = by_id_.find(id);
    if (it == by_id_.end() || position < it->second->position) {
        return;
    }
    if (!after_outage || it->second->server.draining || it->second->leaving) {
        erase_entry(id, now);
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
        erase_entry(id, now);
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
        if (tracked->server.service == service && !tracked->server.draining && !tracked->leaving) {
            ready.push_back(tracked);
        }
    }
    return ready;
}

std::optional<std::chrono::milliseconds>
backend_directory::time_until_accepting(const std::string& service, clock::time_point now) const {
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto& each : ready_servers(service)) {
        const auto wait = each->time_until_accepting(now);
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

std::vector<std::shared_ptr<tracked_backend>> backend_directory::all() const {
    std::vector<std::shared_ptr<tracked_backend>> servers;
    for (const auto& [id, tracked] : by_id_) {
        servers.push_back(tracked);
    }
    return servers;
}

void backend_directory::erase_entry(const std::string& id, clock::time_point now) {
    tracked_backend& gone = *by_id_.at(id);
    gone.removed = true;
    std::erase_if(departed_,
                  [&](const auto& each) { return now - each.second.departed_at > departed_retention; });
    departed_[id] = {gone.server.started_ms, gone.position.era, gone.leaving, gone.limit, now};
    by_id_.erase(id);
}

} // namespace eelgrassgw

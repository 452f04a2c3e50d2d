#include "eelgrassgw/router/request_table.h"

#include "eelgrassgw/run/request_id.h"

namespace eelgrassgw {

namespace {

/// Returns whether the request ran or may have run.
bool has_run(const request_entry& entry) {
    return entry.state == request_state::done || entry.state == request_state::failed ||
           entry.state == request_state::unknown;
}

} // namespace

const char* to_text(request_state state) {
    switch (state) {
    case request_state::not_run:
        return "not_run";
    case request_state::running:
        return "running";
    case request_state::done:
        return "done";
    case request_state::failed:
        return "failed";
    case request_state::unknown:
        return "unknown";
    }
    return "unknown";
}

Json::Value request_entry::to_json(const std::string& request_id) const {
    Json::Value json;
    json["request_id"] = request_id;
    json["state"] = to_text(state);
    json["agent"] = agent;
    json["attempt"] = attempt;
    json["billed_tokens"] = Json::Int64(billed);
    json["withheld_tokens"] = Json::Int64(withheld);
    json["note"] = note;
    return json;
}

void request_table::record(const std::string& request_id, const request_entry& entry) {
    const std::lock_guard lock(mutex_);
    const auto [it, is_new] = entries_.try_emplace(request_id, table_entry{entry, std::nullopt});
    if (!is_new) {
        table_entry& kept = it->second;
        if (has_run(kept.current)) {
            kept.earlier = kept.current;
        }
        const bool is_refused_repetition = entry.state == request_state::not_run && kept.earlier;
        kept.current = is_refused_repetition ? *kept.earlier : entry;
        return;
    }
    ids_by_age_.push_back(request_id);
    if (ids_by_age_.size() > max_entries_) {
        entries_.erase(ids_by_age_.front());
        ids_by_age_.pop_front();
    }
}

std::vector<std::string> request_table::requests_to_remember(const std::string& backend_server,
                                                             const std::string& asking_agent) const {
    const std::string prefix = backend_server + "-";
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    for (const auto& [id, kept] : entries_) {
        const std::string& agent = kept.current.agent;
        const bool was_at_earlier_agent = agent.starts_with(prefix) && agent != asking_agent;
        const bool must_be_remembered = was_at_earlier_agent || has_caller_key(id);
        if (kept.current.state != request_state::not_run && must_be_remembered) {
            found.push_back(id);
        }
    }
    return found;
}

std::optional<request_entry> request_table::find(const std::string& request_id) const {
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(request_id);
    return it == entries_.end() ? std::nullopt : std::optional(it->second.current);
}

} // namespace eelgrassgw

#include "eelgrassgw/router/request_table.h"

#include "eelgrassgw/run/request_id.h"

namespace eelgrassgw {

namespace {

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
    Json::Value to;
    to["request_id"] = request_id;
    to["state"] = to_text(state);
    to["agent"] = agent;
    to["attempt"] = attempt;
    to["billed_tokens"] = Json::Int64(billed);
    to["withheld_tokens"] = Json::Int64(withheld);
    to["note"] = note;
    return to;
}

void request_table::note(const std::string& request_id, const request_entry& entry) {
    const std::lock_guard lock(mutex_);
    const auto [it, is_new] = entries_.try_emplace(request_id, kept_entry{entry, std::nullopt});
    if (!is_new) {
        kept_entry& kept = it->second;
        if (has_run(kept.now)) {
            kept.earlier = kept.now;
        }
        const bool is_refused_repetition = entry.state == request_state::not_run && kept.earlier;
        kept.now = is_refused_repetition ? *kept.earlier : entry;
        return;
    }
    by_age_.push_back(request_id);
    if (by_age_.size() > most_) {
        entries_.erase(by_age_.front());
        by_age_.pop_front();
    }
}

std::vector<std::string> request_table::requests_to_remember(const std::string& backend_server) const {
    const std::string prefix = backend_server + "-";
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    for (const auto& [id, kept] : entries_) {
        const bool matters = kept.now.agent.starts_with(prefix) || has_caller_key(id);
        if (kept.now.state != request_state::not_run && matters) {
            found.push_back(id);
        }
    }
    return found;
}

std::optional<request_entry> request_table::find(const std::string& request_id) const {
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(request_id);
    return it == entries_.end() ? std::nullopt : std::optional(it->second.now);
}

} // namespace eelgrassgw

#include "store/store_paths.h"

#include "relay/relay_protocol.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

/// Statuses by which the store, or a relay that cannot reach it, declines to serve this VM.
bool turns_away(const text_reply& reply) {
    const unsigned status = reply.result_int();
    return status == 429 || status >= 500;
}

} // namespace

store_paths::store_paths(connection_pool& pool, std::string store, event_sink_function log)
    : pool_(pool), store_(std::move(store)), log_(std::move(log)) {}

void store_paths::set_relays(std::vector<std::string> relays) {
    std::erase_if(failed_, [&](const auto& each) {
        return each.first != store_ && std::find(relays.begin(), relays.end(), each.first) == relays.end();
    });
    relays_ = std::move(relays);
}

task<result<text_reply>> store_paths::call(text_request request, call_urgency urgency,
                                           std::chrono::milliseconds extra) {
    const std::vector<std::string> paths = candidates(urgency, clock::now());
    std::string errors;
    for (const std::string& path : paths) {
        const std::chrono::milliseconds limit = reply_limit_ + extra;
        const call_timeouts limits{connect_limit, limit};
        request.set(relay_limit_header, std::to_string(limit.count()));
        auto reply = co_await call_http(pool_, path, request, limits);
        if (reply && !turns_away(reply.value())) {
            note_success(path);
            co_return reply;
        }
        const std::string why =
            reply ? "status " + std::to_string(reply.value().result_int()) : reply.error().text();
        note_failure(path, why, clock::now());
        errors += (errors.empty() ? "" : "; ") + path + ": " + why;
    }
    all_failed_ = true;
    reply_limit_ = std::min(2 * reply_limit_, longest_reply_limit);
    co_return make_failure(errc::outcome_unknown, "call store", store_, errors);
}

/// Paths in the order in which they are tried: the direct one first, unless it failed lately. Where all rest,
/// those whose rest ends first.
std::vector<std::string> store_paths::candidates(call_urgency urgency, clock::time_point now) const {
    std::vector<std::string> sound;
    std::vector<std::string> doubtful;
    const auto sort_in = [&](const std::string& path) {
        const bool failed = failed_.contains(path);
        const bool try_again = failed && !rests(path, now) && urgency == call_urgency::patient;
        (!failed || try_again ? sound : doubtful).push_back(path);
    };
    sort_in(store_);
    std::for_each(relays_.begin(), relays_.end(), sort_in);
    std::stable_sort(doubtful.begin(), doubtful.end(), [&](const auto& a, const auto& b) {
        return failed_.at(a).rest_until < failed_.at(b).rest_until;
    });
    sound.insert(sound.end(), doubtful.begin(), doubtful.end());
    sound.resize(std::min(sound.size(), most_paths_a_call));
    return sound;
}

void store_paths::note_success(const std::string& path) {
    all_failed_ = false;
    reply_limit_ = std::max(shortest_reply_limit, reply_limit_ * 3 / 4);
    if (failed_.erase(path) > 0) {
        Json::Value fields;
        fields["path"] = path;
        fields["direct"] = path == store_;
        log_("store_path_regained", std::move(fields));
    }
}

void store_paths::note_failure(const std::string& path, const std::string& why, clock::time_point now) {
    pool_.forget(path);
    const bool first = !failed_.contains(path);
    path_state& state = failed_[path];
    state.rest = first ? first_rest : std::min(2 * state.rest, longest_rest);
    state.rest_until = now + state.rest;
    if (first) {
        Json::Value fields;
        fields["path"] = path;
        fields["direct"] = path == store_;
        fields["error"] = why;
        log_("store_path_lost", std::move(fields));
    }
}

bool store_paths::rests(const std::string& path, clock::time_point now) const {
    return failed_.at(path).rest_until > now;
}

} // namespace eelgrassgw

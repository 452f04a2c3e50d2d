#include "store/store_paths.h"

#include "relay/relay_protocol.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

/// Returns whether a reply means that the store rejects calls from this VM or that a relay cannot reach the
/// store.
bool rejects_call(const text_reply& reply) {
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
                                           std::chrono::milliseconds extra_wait, reply_arrival* arrival,
                                           std::size_t max_bytes) {
    const std::vector<std::string> paths = order_paths(urgency, clock::now());
    std::string errors;
    for (const std::string& path : paths) {
        const std::chrono::milliseconds reply_timeout = reply_timeout_ + extra_wait;
        const call_timeouts timeouts{connect_timeout, reply_timeout};
        request.set(relay_timeout_header, std::to_string(reply_timeout.count()));
        auto reply = co_await call_http(pool_, path, request, timeouts, arrival, max_bytes);
        if (reply && !rejects_call(reply.value())) {
            note_success(path);
            co_return reply;
        }
        if (reply.failed_with(errc::reply_too_large)) {
            note_success(path);
            co_return reply.error();
        }
        const std::string error =
            reply ? "status " + std::to_string(reply.value().result_int()) : reply.error().text();
        note_failure(path, error, clock::now());
        errors += (errors.empty() ? "" : "; ") + path + ": " + error;
    }
    all_failed_ = true;
    reply_timeout_ = std::min(2 * reply_timeout_, max_reply_timeout);
    co_return make_failure(errc::outcome_unknown, "call store", store_, errors);
}

/// Returns the paths in the order in which a call tries them. Paths that work come first, the direct one
/// before the relays. Failed paths follow, ordered by the end of their backoff.
std::vector<std::string> store_paths::order_paths(call_urgency urgency, clock::time_point now) const {
    std::vector<std::string> ordered_paths;
    std::vector<std::string> failed_paths;
    const auto add_path = [&](const std::string& path) {
        const bool failed = failed_.contains(path);
        const bool retry_now = failed && !is_backing_off(path, now) && urgency == call_urgency::background;
        (!failed || retry_now ? ordered_paths : failed_paths).push_back(path);
    };
    add_path(store_);
    std::for_each(relays_.begin(), relays_.end(), add_path);
    std::stable_sort(failed_paths.begin(), failed_paths.end(), [&](const auto& a, const auto& b) {
        return failed_.at(a).backoff_until < failed_.at(b).backoff_until;
    });
    ordered_paths.insert(ordered_paths.end(), failed_paths.begin(), failed_paths.end());
    // While no path works, the store itself is probably down. Each call then tries one path, in turn.
    const std::size_t max_paths = all_failed_ ? 1 : max_paths_per_call;
    ordered_paths.resize(std::min(ordered_paths.size(), max_paths));
    return ordered_paths;
}

void store_paths::note_success(const std::string& path) {
    all_failed_ = false;
    reply_timeout_ = std::max(min_reply_timeout, reply_timeout_ * 3 / 4);
    if (failed_.erase(path) > 0) {
        Json::Value fields;
        fields["path"] = path;
        fields["direct"] = path == store_;
        log_("store_path_regained", std::move(fields));
    }
}

void store_paths::note_failure(const std::string& path, const std::string& error, clock::time_point now) {
    pool_.close_idle(path);
    const bool is_first_failure = !failed_.contains(path);
    path_state& state = failed_[path];
    state.backoff = is_first_failure ? initial_backoff : std::min(2 * state.backoff, max_backoff);
    state.backoff_until = now + state.backoff;
    if (is_first_failure) {
        Json::Value fields;
        fields["path"] = path;
        fields["direct"] = path == store_;
        fields["error"] = error;
        log_("store_path_lost", std::move(fields));
    }
}

bool store_paths::is_backing_off(const std::string& path, clock::time_point now) const {
    return failed_.at(path).backoff_until > now;
}

} // namespace eelgrassgw

#pragma once

/// Sends a router's requests to the budget ledger, through a relay that batches the requests of all routers
/// or directly to the store.

#include "base/event_sink.h"
#include "budgets/ledger_request.h"
#include "eelgrassgw/base/hash.h"
#include "net/http_call.h"
#include "relay/relay_protocol.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Satisfies the concept `ledger_service`. All routers prefer the same relay, so that it can batch their
/// requests. If a relay does not reply, the client sends the request to the next relay and finally to this
/// process's own ledger writer. While none of them can reach the store, it tries one of them per request.
/// Such a retry is safe because a request is applied at most once. Not thread-safe.
template <ledger_service LocalWriter>
class ledger_client {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    /// Longest time to connect to a relay.
    static constexpr milliseconds connect_timeout{150};
    /// Longest wait for a relay's reply. A relay replies in this time even if the store is slow.
    static constexpr milliseconds reply_timeout{650};
    /// Time after which a request is no longer sent again to a relay or writer that still waits for the
    /// store.
    static constexpr milliseconds slow_store_timeout{3000};
    /// Time without requests to a relay after its first failure.
    static constexpr milliseconds initial_backoff{1000};
    /// Upper bound of the backoff, which doubles with each further failure.
    static constexpr milliseconds max_backoff{8000};
    static constexpr std::size_t max_relays_per_request = 2;

    /// Precondition: `pool` and `local_writer` outlive this object.
    ledger_client(connection_pool& pool, LocalWriter& local_writer, event_sink_function log)
        : pool_(pool), local_writer_(local_writer), log_(std::move(log)) {}

    /// Replaces the list of relays (IP:port).
    void set_relays(std::vector<std::string> relays);

    /// Sends the request and returns its outcome, which may be unknown.
    task<ledger_outcome> submit(const ledger_request& request);

private:
    struct backoff_state {
        clock::time_point until{}; ///< Time from which the relay is used again.
        milliseconds length{0};    ///< Length of the current backoff.
    };

    std::vector<std::string> available_relays() const;
    task<result<ledger_outcome>> call_relay(const std::string& relay, const ledger_request& request);
    void note_success(const std::string& relay);
    void note_failure(const std::string& relay, const std::string& why);

    connection_pool& pool_;
    LocalWriter& local_writer_;
    event_sink_function log_;
    std::vector<std::string> relays_; ///< Addresses of the relays, in the same order at all routers.
    std::map<std::string, backoff_state> failed_; ///< Relays whose last call failed, by address.
    bool all_failed_ = false;        ///< Whether the last request failed over all ways that it tried.
    bool uses_local_writer_ = false; ///< While all ways fail: whether the last request used the local writer.
};

template <ledger_service LocalWriter>
void ledger_client<LocalWriter>::set_relays(std::vector<std::string> relays) {
    relays_ = std::move(relays);
    std::sort(relays_.begin(), relays_.end(),
              [](const auto& a, const auto& b) { return stable_hash(a) < stable_hash(b); });
    std::erase_if(failed_, [&](const auto& each) {
        return std::find(relays_.begin(), relays_.end(), each.first) == relays_.end();
    });
}

template <ledger_service LocalWriter>
task<ledger_outcome> ledger_client<LocalWriter>::submit(const ledger_request& request) {
    const auto deadline = clock::now() + slow_store_timeout;
    std::vector<std::string> relays = available_relays();
    if (all_failed_) {
        // The store itself is probably down. Each request then tries one way, a relay and the local writer in
        // turn.
        uses_local_writer_ = !uses_local_writer_ || relays.empty();
        relays.resize(uses_local_writer_ ? 0 : 1);
    }
    for (const std::string& relay : relays) {
        result<ledger_outcome> outcome = co_await call_relay(relay, request);
        while (outcome && outcome.value().still_trying && clock::now() < deadline) {
            outcome = co_await call_relay(relay, request);
        }
        if (outcome) {
            note_success(relay);
            all_failed_ = false;
            co_return std::move(outcome.value());
        }
        note_failure(relay, outcome.error().text());
    }
    if (all_failed_ && !uses_local_writer_) {
        ledger_outcome unknown;
        unknown.error = "the store is unavailable";
        co_return unknown;
    }
    ledger_outcome outcome = co_await local_writer_.submit(request);
    while (outcome.still_trying && clock::now() < deadline) {
        outcome = co_await local_writer_.submit(request);
    }
    all_failed_ = outcome.status == ledger_outcome::status_kind::unknown;
    co_return outcome;
}

template <ledger_service LocalWriter>
std::vector<std::string> ledger_client<LocalWriter>::available_relays() const {
    const auto now = clock::now();
    std::vector<std::string> available;
    std::copy_if(relays_.begin(), relays_.end(), std::back_inserter(available), [&](const auto& relay) {
        const auto it = failed_.find(relay);
        return it == failed_.end() || it->second.until <= now;
    });
    available.resize(std::min(available.size(), max_relays_per_request));
    return available;
}

template <ledger_service LocalWriter>
task<result<ledger_outcome>> ledger_client<LocalWriter>::call_relay(const std::string& relay,
                                                                    const ledger_request& request) {
    text_request call(http::verb::post, ledger_path, 11);
    call.set(http::field::content_type, "application/json");
    call.body() = to_text(to_json(request));
    const call_timeouts timeouts{connect_timeout, reply_timeout};
    const auto reply = co_await call_http(pool_, relay, std::move(call), timeouts);
    if (!reply) {
        co_return reply.error();
    }
    if (reply.value().result() == http::status::accepted) {
        ledger_outcome pending;
        pending.error = "relay " + relay + " waits for the store";
        pending.still_trying = true;
        co_return pending;
    }
    if (reply.value().result() != http::status::ok) {
        co_return make_failure(errc::outcome_unknown, "send ledger request to relay", relay,
                               "status " + std::to_string(reply.value().result_int()) + ": " +
                                   reply.value().body());
    }
    const result<Json::Value> document = parse_json(reply.value().body());
    if (!document) {
        co_return document.error();
    }
    co_return parse_ledger_outcome(document.value());
}

template <ledger_service LocalWriter>
void ledger_client<LocalWriter>::note_success(const std::string& relay) {
    if (failed_.erase(relay) > 0) {
        Json::Value fields;
        fields["relay"] = relay;
        log_("ledger_relay_regained", std::move(fields));
    }
}

template <ledger_service LocalWriter>
void ledger_client<LocalWriter>::note_failure(const std::string& relay, const std::string& why) {
    pool_.close_idle(relay);
    const bool first = !failed_.contains(relay);
    backoff_state& backoff = failed_[relay];
    backoff.length = first ? initial_backoff : std::min(2 * backoff.length, max_backoff);
    backoff.until = clock::now() + backoff.length;
    if (first) {
        Json::Value fields;
        fields["relay"] = relay;
        fields["error"] = why;
        log_("ledger_relay_lost", std::move(fields));
    }
}

} // namespace eelgrassgw

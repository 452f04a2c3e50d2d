#pragma once

/// A router's way to the budget ledger: through a relay that joins the requests of all routers, or by itself.

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

/// Meets `ledger_service`. All routers prefer the same relay, so that it can join their requests. A request
/// is sent on to the next relay, and last to this process's own writer, where no answer came; that is safe,
/// as a request applies at most once. Not thread-safe.
template <ledger_service Own>
class ledger_client {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    static constexpr milliseconds connect_limit{150}; ///< To a relay.
    static constexpr milliseconds reply_limit{650};   ///< Of a relay; it is in time also at a slow store.
    static constexpr milliseconds patience{3000};     ///< With a store that is slow.
    static constexpr milliseconds first_rest{1000};   ///< A relay that failed is left alone for this.
    static constexpr milliseconds longest_rest{8000};
    static constexpr std::size_t most_relays = 2; ///< Tried for one request.

    /// Precondition: `pool` and `own` outlive this object.
    ledger_client(connection_pool& pool, Own& own, event_sink_function log)
        : pool_(pool), own_(own), log_(std::move(log)) {}

    void set_relays(std::vector<std::string> relays);

    task<ledger_outcome> submit(const ledger_request& request);

private:
    struct rest_state {
        clock::time_point until{};
        milliseconds length{0};
    };

    std::vector<std::string> sound_relays() const;
    task<result<ledger_outcome>> ask(const std::string& relay, const ledger_request& request);
    void note_success(const std::string& relay);
    void note_failure(const std::string& relay, const std::string& why);

    connection_pool& pool_;
    Own& own_;
    event_sink_function log_;
    std::vector<std::string> relays_;          ///< In the order that all routers prefer.
    std::map<std::string, rest_state> failed_; ///< Relays whose last answer was none.
};

template <ledger_service Own>
void ledger_client<Own>::set_relays(std::vector<std::string> relays) {
    relays_ = std::move(relays);
    std::sort(relays_.begin(), relays_.end(),
              [](const auto& a, const auto& b) { return stable_hash(a) < stable_hash(b); });
    std::erase_if(failed_, [&](const auto& each) {
        return std::find(relays_.begin(), relays_.end(), each.first) == relays_.end();
    });
}

template <ledger_service Own>
task<ledger_outcome> ledger_client<Own>::submit(const ledger_request& request) {
    const auto give_up = clock::now() + patience;
    const std::vector<std::string> relays = sound_relays();
    for (const std::string& relay : relays) {
        result<ledger_outcome> outcome = co_await ask(relay, request);
        while (outcome && outcome.value().still_trying && clock::now() < give_up) {
            outcome = co_await ask(relay, request);
        }
        if (outcome) {
            note_success(relay);
            co_return std::move(outcome.value());
        }
        note_failure(relay, outcome.error().text());
    }
    ledger_outcome outcome = co_await own_.submit(request);
    while (outcome.still_trying && clock::now() < give_up) {
        outcome = co_await own_.submit(request);
    }
    co_return outcome;
}

template <ledger_service Own>
std::vector<std::string> ledger_client<Own>::sound_relays() const {
    const auto now = clock::now();
    std::vector<std::string> sound;
    std::copy_if(relays_.begin(), relays_.end(), std::back_inserter(sound), [&](const auto& relay) {
        const auto it = failed_.find(relay);
        return it == failed_.end() || it->second.until <= now;
    });
    sound.resize(std::min(sound.size(), most_relays));
    return sound;
}

template <ledger_service Own>
task<result<ledger_outcome>> ledger_client<Own>::ask(const std::string& relay,
                                                     const ledger_request& request) {
    text_request call(http::verb::post, ledger_path, 11);
    call.set(http::field::content_type, "application/json");
    call.body() = to_text(to_json(request));
    const call_limits limits{connect_limit, reply_limit};
    const auto reply = co_await call_http(pool_, relay, std::move(call), limits);
    if (!reply) {
        co_return reply.error();
    }
    if (reply.value().result() == http::status::accepted) {
        ledger_outcome slow;
        slow.error = "relay " + relay + " waits for the store";
        slow.still_trying = true;
        co_return slow;
    }
    if (reply.value().result() != http::status::ok) {
        co_return make_failure(errc::outcome_unknown, "ask relay for the ledger", relay,
                               "status " + std::to_string(reply.value().result_int()) + ": " +
                                   reply.value().body());
    }
    const result<Json::Value> document = parse_json(reply.value().body());
    if (!document) {
        co_return document.error();
    }
    co_return parse_ledger_outcome(document.value());
}

template <ledger_service Own>
void ledger_client<Own>::note_success(const std::string& relay) {
    if (failed_.erase(relay) > 0) {
        Json::Value fields;
        fields["relay"] = relay;
        log_("ledger_relay_regained", std::move(fields));
    }
}

template <ledger_service Own>
void ledger_client<Own>::note_failure(const std::string& relay, const std::string& why) {
    pool_.forget(relay);
    const bool first = !failed_.contains(relay);
    rest_state& rest = failed_[relay];
    rest.length = first ? first_rest : std::min(2 * rest.length, longest_rest);
    rest.until = clock::now() + rest.length;
    if (first) {
        Json::Value fields;
        fields["relay"] = relay;
        fields["error"] = why;
        log_("ledger_relay_lost", std::move(fields));
    }
}

} // namespace eelgrassgw

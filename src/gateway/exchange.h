#pragma once

/// Serves one request: checks it, reserves its budget, chooses a backend server, sends it there and forwards
/// the answer.

#include "admission/admission_control.h"
#include "admission/room_hold.h"
#include "budgets/budget_keeper.h"
#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/not_run_status.h"
#include "gateway/backend_reply.h"
#include "gateway/caller_answer.h"
#include "gateway/exchange_control.h"
#include "gateway/gateway_core.h"
#include "gateway/refusal.h"
#include "gateway/retry_advice.h"
#include "gateway/send_record.h"
#include "placing/placement.h"
#include "quarantine/request_fingerprint.h"
#include "streams/event_splitter.h"

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassgw {

/// Outcome of an attempt to have one backend server run a request.
enum class attempt_outcome {
    answered,       ///< The caller received a complete answer.
    failed,         ///< The server sent a complete failure answer, which is held back.
    not_sent,       ///< The server could not be reached.
    not_run,        ///< The server declined the request.
    wrong_server,   ///< Another server uses the address.
    invalid_answer, ///< The request may have run, but no valid answer came; the caller got nothing.
    broken_midway,  ///< The request ran, but only a part of its answer reached the caller.
    cancelled,      ///< The caller left, or the deadline passed.
};

/// Returns the name of an outcome in the log. The log format fixes the names, so two of them differ from
/// their enumerators.
inline const char* name_of(attempt_outcome outcome) {
    constexpr std::array names = {"answered",     "failed",   "not_sent",      "not_run",
                                  "wrong_server", "unusable", "broken_midway", "ended"};
    return names.at(static_cast<std::size_t>(outcome));
}

/// Handles one request of a caller, from its last byte to the end of its answer. Each object serves one
/// request. Not thread-safe.
template <class Core>
class exchange {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    /// Timeout for connecting to a backend server.
    static constexpr milliseconds connect_timeout{300};
    /// Shortest remaining time for which an attempt is still worthwhile.
    static constexpr milliseconds min_attempt_time{15};
    /// Time after the deadline in which the server's own failure reply may still arrive.
    static constexpr milliseconds server_failure_margin{100};
    /// Time for which a server is avoided after it could not be reached.
    static constexpr milliseconds avoid_unreachable_time{1000};
    /// Time for which a server is avoided after another server answered at its address.
    static constexpr milliseconds avoid_wrong_server_time{3000};
    /// Time for which a server is avoided after it declined a request.
    static constexpr milliseconds avoid_declined_time{150};
    /// Time for which a server is avoided after an invalid answer.
    static constexpr milliseconds avoid_invalid_answer_time{400};

    /// Retry-After time for requests that were refused because of overload.
    static constexpr milliseconds retry_after_overload{250};
    /// Retry-After time while a newer configuration is on its way to this router.
    static constexpr milliseconds retry_after_newer_configuration{400};
    /// Retry-After time while the configuration, the budget or every backend server is unavailable.
    static constexpr milliseconds retry_after_outage{800};

    /// Largest total body size of all requests in progress.
    static constexpr std::size_t max_body_bytes_in_use = 48U << 20U;
    /// Number of unreachable servers after which the request is refused.
    static constexpr int max_unreachable_servers = 4;
    /// Largest event of a stream. An answer with a larger one is broken off.
    static constexpr std::size_t max_event_bytes = 256U << 10U;
    /// Largest answer that is held until it is complete. A larger success is forwarded as it arrives; a
    /// larger failure is invalid.
    static constexpr std::size_t max_held_answer_bytes = 256U << 10U;
    /// Size of a read after which a stream is read again at once, since more may wait in its socket.
    static constexpr std::size_t max_bytes_before_pause = 4096;

    /// `started` is the time when the request began to arrive.
    /// Precondition: all references outlive the exchange.
    exchange(Core& core, const text_request& request, caller_connection& caller,
             std::shared_ptr<exchange_control> control, clock::time_point started)
        : core_(core), request_(request), shared_control_(std::move(control)), control_(*shared_control_),
          started_(started), timeout_timer_(core.context),
          answer_(caller, request, request.keep_alive() && !core.closing_connections, control_.place()),
          configuration_(core.configuration) {}

    /// Serves the request. Returns whether the connection can take another request.
    task<bool> serve();

    /// Refuses a request that is not served because the process has no room for it; its body need not have
    /// been read. The connection must close afterwards. Precondition: the request's head was read.
    task<void> refuse_without_room();

private:
    void decode_terms();
    void claim_id();
    void release_id();
    std::optional<refusal> check_admission();
    std::optional<refusal> check_request();
    refusal deny(refusal_reason reason, std::string message) const;
    std::optional<quarantined_part> find_quarantined_part() const;
    std::optional<refusal> check_quarantine() const;
    bool take_probe();
    bool is_kept_back() const;
    void start_timeout();
    task<std::optional<refusal>> choose_service_of_request();
    task<std::optional<refusal>> find_origin();
    void log_take_up(const origin_lookup& found, milliseconds lookup_time, const char* outcome);
    bool has_version_of_stream(const tracked_backend& server) const;
    std::vector<std::shared_ptr<tracked_backend>> servers_for_request() const;
    refusal make_version_refusal() const;
    void note_stream_event(const tracked_backend& server);
    std::string stream_id() const;
    task<std::optional<refusal>> reserve_budget();
    task<void> send_until_answered();
    task<result<std::unique_ptr<connection>>> open_connection(std::string address);
    task<attempt_outcome> send_to(std::shared_ptr<tracked_backend> server);
    task<attempt_outcome> send_and_receive(std::shared_ptr<tracked_backend> server, connection& upstream);
    task<attempt_outcome> receive(std::shared_ptr<tracked_backend> server, connection& upstream,
                                  request_upload& upload, connection_history history);
    static std::string describe_invalid_reply(const backend_reply& reply, const request_upload& upload,
                                              const std::string& peer);
    task<attempt_outcome> forward_answer(tracked_backend& server, connection& upstream, backend_reply& reply,
                                         answer_kind kind);
    task<attempt_outcome> forward_stream(tracked_backend& server, backend_reply& reply);
    task<void> pause_stream();
    std::string find_stream_fault(const backend_reply& reply, bool ended) const;
    task<attempt_outcome> forward_body(tracked_backend& server, backend_reply& reply, answer_kind kind);
    task<void> send_final_answer(attempt_outcome last);
    refusal final_refusal(attempt_outcome last) const;
    refusal withhold_unproved_promise(refusal rejection) const;
    task<void> refuse(refusal rejection);
    bool is_next_attempt_allowed(attempt_outcome last);
    place_terms make_terms() const {
        return make_place_terms(*route_, customer_, configuration_->find_service(service_));
    }
    placement_outcome choose_server();
    void take_room(tracked_backend& server);
    bool is_subject_to_order() const;
    admission_request describe_for_order() const;
    place_attempt try_place(std::shared_ptr<tracked_backend>& server);
    task<std::shared_ptr<tracked_backend>> take_server();
    bool is_still_configured() const;
    void log_order(Json::Value& fields) const;
    void note_answer_progress();
    void note_whole_answer();
    void note_broken_answer(const tracked_backend& server);
    std::vector<std::string> list_parts() const;
    void note_server_notice(tracked_backend& server, const reply_head& head, answer_kind kind);
    void note_server_limit(tracked_backend& server, const server_notice& notice, answer_kind kind);
    void log_skipped_replies(const backend_reply& reply);
    void log_evidence(const reply_evidence& evidence);
    bool can_continue_answer(const reply_head& head) const;
    void avoid_server(tracked_backend& server, milliseconds duration) {
        server.avoid_until = clock::now() + duration;
    }
    void note_prompt_consumed();
    void settle_budget();
    void log_outcome();
    void count_outcome();
    milliseconds elapsed() const { return std::chrono::duration_cast<milliseconds>(clock::now() - started_); }
    milliseconds time_left() const { return std::chrono::ceil<milliseconds>(deadline_ - clock::now()); }
    bool is_stream() const { return route_ != nullptr && route_->kind == request_kind::stream; }

    /// What an attempt has shown so far of the server and of the prompt.
    struct attempt_progress {
        bool answer_began = false;                       ///< Whether the head of a success has arrived.
        std::optional<clock::time_point> first_piece_at; ///< Time of the first event.
        clock::time_point sent_at{};                     ///< Time at which the request was sent.
        std::int64_t server_started_ms = 0; ///< Start of the server according to its entry at that time.
        bool connection_lost = false;       ///< Whether the server's connection ended inside the answer.
    };

    Core& core_;
    const text_request& request_;
    std::shared_ptr<exchange_control> shared_control_;
    exchange_control& control_;
    clock::time_point started_;
    asio::steady_timer timeout_timer_; ///< Cancels the exchange after its deadline.
    clock::time_point deadline_{};
    caller_answer answer_;
    std::shared_ptr<const fleet_configuration> configuration_;
    const route* route_ = nullptr;
    const customer* customer_ = nullptr;
    std::string service_;
    request_terms terms_;
    std::optional<stream_origin> origin_; ///< Where the stream began; absent before its first event.
    bool is_origin_told_ = false;         ///< Whether relays were told of it, or need not be.
    std::optional<failure> malformed_;    ///< Why the request's metadata cannot be decoded.
    std::vector<std::string> parts_;      ///< What the request has in common with others, for the quarantine.
    tokens reserved_tokens_ = 0;
    tokens charged_tokens_ = 0; ///< Part of `reserved_tokens_` that the customer is charged.
    tokens consumed_tokens_ =
        0; ///< Part of `reserved_tokens_` that counts as consumed while the request runs.
    std::vector<std::string> tried_server_ids_;
    send_record sends_;           ///< What is known of the sends to backend servers.
    bool has_claimed_id_ = false; ///< Whether a repetition with the same id is kept back for this request.
    bool is_probe_ = false;     ///< Whether the request finds out for all routers if its parts are harmless.
    attempt_progress progress_; ///< Progress of the current attempt.
    cold_permit cold_permit_;   ///< Room of the current attempt at a cold server.
    std::optional<text_reply> held_failure_; ///< A server's failure, forwarded if no other server answers.
    std::optional<unread_prompt>
        unread_prompt_;                    ///< Prompt of the current attempt, until the server has read it.
    std::optional<room_hold> room_hold_;   ///< Room at the chosen server, until the send begins.
    std::optional<refusal> order_refusal_; ///< Set if the order of the waiting requests excludes this one.
    const char* order_verdict_ = nullptr;  ///< What that order decided, for the log; null if not asked.
    milliseconds queued_for_{0};           ///< Time in the queue, for the log.
    std::int64_t tokens_to_read_ = 0;      ///< Prompt tokens that the chosen server has to read.
    event_splitter splitter_;
    milliseconds budget_known_after_{0};            ///< Time until the budget answered, for the log.
    std::optional<milliseconds> first_event_after_; ///< Time until the first event, for the log.
    Json::Value attempt_fields_;                    ///< Fields of the current attempt, for the log.
    Json::Value attempt_log_{Json::arrayValue};     ///< Fields of all ended attempts, for the log.
    std::string outcome_ = "answered";
    std::string error_;
};

template <class Core>
task<bool> exchange<Core>::serve() {
    deadline_ = started_ + std::chrono::hours(1);
    decode_terms();
    std::optional<refusal> refused = check_admission();
    if (!refused) {
        refused = co_await choose_service_of_request();
    }
    if (!refused) {
        refused = co_await reserve_budget();
    }
    if (refused) {
        co_await refuse(std::move(*refused));
    } else {
        co_await send_until_answered();
    }
    timeout_timer_.cancel();
    control_.finish();
    if (is_probe_ && sends_.send_count() == 0) {
        core_.quarantine.return_probe(parts_);
    }
    release_id();
    settle_budget();
    log_outcome();
    co_return answer_.connection_reusable() && !control_.cancelled();
}

template <class Core>
task<void> exchange<Core>::refuse_without_room() {
    decode_terms();
    if (core_.unrepeatable.contains(terms_.id)) {
        sends_.note_earlier_attempt();
    }
    answer_.close_connection_afterwards();
    refusal rejection{refusal_reason::overloaded, "this router has no room for the request",
                      intake_guard::retry_after};
    co_await refuse(std::move(rejection));
    control_.finish();
    log_outcome();
}

template <class Core>
void exchange<Core>::start_timeout() {
    deadline_ = started_ + std::min(route_->timeout, terms_.deadline.value_or(route_->timeout));
    timeout_timer_.expires_at(deadline_ + server_failure_margin);
    timeout_timer_.async_wait([control = shared_control_](net_error ec) {
        if (!ec) {
            control->note_timeout();
        }
    });
}

template <class Core>
task<void> exchange<Core>::send_until_answered() {
    int unreachable = 0;
    for (;;) {
        if (control_.cancelled() || time_left() < min_attempt_time) {
            co_return co_await send_final_answer(attempt_outcome::cancelled);
        }
        if (is_kept_back()) { // The part may have got into quarantine during an earlier attempt.
            co_return co_await send_final_answer(attempt_outcome::not_sent);
        }
        const std::shared_ptr<tracked_backend> server = co_await take_server();
        if (order_refusal_) {
            co_return co_await refuse(std::move(*order_refusal_));
        }
        if (server == nullptr && control_.cancelled()) {
            co_return co_await send_final_answer(attempt_outcome::cancelled);
        }
        if (server == nullptr) {
            co_return co_await send_final_answer(sends_.send_count() > 0 ? attempt_outcome::not_run
                                                                         : attempt_outcome::not_sent);
        }
        tried_server_ids_.push_back(server->server.id);
        attempt_fields_ = Json::objectValue;
        attempt_fields_["server"] = server->server.id;
        const int sent_before = sends_.send_count();
        const attempt_outcome outcome = co_await send_to(server);
        cold_permit_.release();
        room_hold_.reset();
        core_.admission->room_appeared(); // The end of a request makes room.
        if (sends_.send_count() == sent_before) {
            server->limit.give_back(clock::now());
        }
        attempt_fields_["end"] = name_of(outcome);
        attempt_log_.append(std::move(attempt_fields_));
        if (outcome == attempt_outcome::answered) {
            co_return;
        }
        unreachable += outcome == attempt_outcome::not_sent ? 1 : 0;
        if (unreachable >= max_unreachable_servers || !is_next_attempt_allowed(outcome)) {
            co_return co_await send_final_answer(outcome);
        }
    }
}

/// Returns whether the request may be sent to another server after the outcome `last`, according to the route
/// and the retry budget.
template <class Core>
bool exchange<Core>::is_next_attempt_allowed(attempt_outcome last) {
    if (control_.cancelled() || last == attempt_outcome::cancelled) {
        return false;
    }
    if (last == attempt_outcome::not_sent) {
        return true; // The request reached no server.
    }
    const bool proved_not_run = last == attempt_outcome::not_run || last == attempt_outcome::wrong_server;
    const bool can_resume = splitter_.event_count() == 0 || !splitter_.last_id().empty();
    const bool stream_allows_it = last != attempt_outcome::broken_midway || (route_->resumable && can_resume);
    const bool repeatable = (proved_not_run || may_run_again(*route_)) && stream_allows_it;
    const int max_servers = route_->max_backend_servers + (last == attempt_outcome::wrong_server ? 1 : 0);
    return repeatable && sends_.send_count() < max_servers &&
           core_.retries.take_retry(service_, clock::now());
}

template <class Core>
placement_outcome exchange<Core>::choose_server() {
    placement_request placement;
    placement.excluded = tried_server_ids_;
    placement.random = random_below(1U << 30U);
    if (terms_.prompt) {
        placement.shared_prompt_part = terms_.prompt->last_shared_part();
        placement.shared_tokens = terms_.prompt->shared_tokens;
        placement.carries_prompt = true;
        placement.unshared_tokens = terms_.prompt->unshared_tokens();
        placement.held_tokens = terms_.prompt->max_tokens();
    }
    placement.by_wait = core_.place_by_wait;
    if (terms_.prompt && is_subject_to_order()) {
        const service_definition& service = configuration_->find_service(service_);
        placement.bound = {configuration_->shortest_event_gap(service_), service.max_tokens_per_event,
                           service.kv_capacity};
    }
    const auto now = clock::now();
    std::size_t kept_back = 0;
    const auto candidates =
        core_.places.available_servers(servers_for_request(), make_terms(), now, kept_back);
    if (kept_back > 0) {
        core_.metrics.count("requests_kept_from_cold_servers");
    }
    placement_outcome placed = choose_backend_server(candidates, placement, now);
    tokens_to_read_ = placed.tokens_to_read;
    if (placed.server != nullptr) {
        core_.metrics.count("placements", {{"reason", name_of(placed.reason)}});
    }
    return placed;
}

} // namespace eelgrassgw

#include "gateway/internal/exchange_admission.h"
#include "gateway/internal/exchange_attempt.h"
#include "gateway/internal/exchange_end.h"
#include "gateway/internal/exchange_forwarding.h"
#include "gateway/internal/exchange_queueing.h"
#include "gateway/internal/exchange_versions.h"

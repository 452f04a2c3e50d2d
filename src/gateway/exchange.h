#pragma once

/// Serves one request: admission, budget, placing, sending, answer.

#include "budgets/budget_keeper.h"
#include "eelgrassgw/base/hash.h"
#include "gateway/backend_reply.h"
#include "gateway/caller_answer.h"
#include "gateway/exchange_control.h"
#include "gateway/gateway_core.h"
#include "gateway/refusal.h"
#include "placing/placement.h"
#include "streams/event_splitter.h"

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassgw {

/// How the sending of a request to one backend server ended.
enum class attempt_end {
    answered,      ///< The caller has its complete answer.
    failed,        ///< The server's own failure, complete; held back.
    not_sent,      ///< The server could not be reached.
    not_run,       ///< The server declined.
    wrong_server,  ///< Another server has the address.
    unusable,      ///< It may have run; no usable answer came, and nothing reached the caller.
    broken_midway, ///< It ran, and a part of its answer reached the caller.
    ended,         ///< The caller left, or the time is over.
};

inline const char* name_of(attempt_end end) {
    constexpr std::array names = {"answered",     "failed",   "not_sent",      "not_run",
                                  "wrong_server", "unusable", "broken_midway", "ended"};
    return names.at(static_cast<std::size_t>(end));
}

/// One request of a caller, from its last byte to the end of its answer. Used once. Not thread-safe.
template <class Core>
class exchange {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    static constexpr milliseconds connect_limit{300};     ///< To a backend server.
    static constexpr milliseconds least_useful_time{15};  ///< Less time than that is not worth a sending.
    static constexpr milliseconds answer_margin{100};     ///< After the limit, for the server's own failure.
    static constexpr milliseconds rest_unreachable{1000}; ///< A server that could not be reached is avoided.
    static constexpr milliseconds rest_wrong{3000};       ///< The same where another server has its address.
    static constexpr milliseconds rest_full{150};         ///< The same after it declined.
    static constexpr milliseconds rest_unusable{400};     ///< The same after an unusable answer.
    static constexpr milliseconds return_soon{250}; ///< Told to callers that were refused for lack of room.
    static constexpr milliseconds return_after_outage{800}; ///< The same while something is out of reach.
    static constexpr milliseconds return_to_ledger{3000};   ///< The same while the store is out of reach.
    static constexpr int most_unreachable = 4;              ///< Servers tried that could not be reached.
    static constexpr std::size_t largest_held_answer = 256U
                                                       << 10U; ///< Bytes; larger ones are passed on early.

    /// Precondition: all arguments outlive the exchange.
    exchange(Core& core, const text_request& request, tcp::socket& caller,
             std::shared_ptr<exchange_control> control, clock::time_point started)
        : core_(core), request_(request), shared_control_(std::move(control)), control_(*shared_control_),
          started_(started), limit_(core.context),
          answer_(caller, request.keep_alive() && !core.closing, request.method() == http::verb::head),
          configuration_(core.configuration) {}

    /// Returns whether the connection can take another request.
    task<bool> serve();

private:
    std::optional<refusal> admit();
    std::optional<refusal> check_terms();
    void limit_time();
    task<std::optional<refusal>> reserve_budget();
    task<void> send_until_answered();
    task<attempt_end> attempt(std::shared_ptr<tracked_backend> server);
    task<attempt_end> exchange_on(std::shared_ptr<tracked_backend> server, connection& to);
    task<attempt_end> pass_answer(tracked_backend& server, connection& to, backend_reply& reply,
                                  answer_kind kind);
    task<attempt_end> pass_stream(backend_reply& reply);
    task<attempt_end> pass_body(backend_reply& reply, answer_kind kind);
    task<void> conclude(attempt_end last);
    refusal last_refusal(attempt_end last) const;
    task<void> refuse(refusal with);
    bool next_attempt_allowed(attempt_end last);
    std::shared_ptr<tracked_backend> place();
    void avoid(tracked_backend& server, milliseconds rest) { server.avoid_until = clock::now() + rest; }
    void settle();
    void log_end();
    void count_end();
    milliseconds elapsed() const { return std::chrono::duration_cast<milliseconds>(clock::now() - started_); }
    milliseconds left() const { return std::chrono::ceil<milliseconds>(ends_at_ - clock::now()); }
    bool is_stream() const { return route_ != nullptr && route_->kind == request_kind::stream; }

    Core& core_;
    const text_request& request_;
    std::shared_ptr<exchange_control> shared_control_;
    exchange_control& control_;
    clock::time_point started_;
    asio::steady_timer limit_; ///< Ends the exchange at its time.
    clock::time_point ends_at_{};
    caller_answer answer_;
    std::shared_ptr<const fleet_configuration> configuration_;
    const route* route_ = nullptr;
    const customer* customer_ = nullptr;
    std::string service_;
    request_terms terms_;
    tokens reserved_ = 0;
    tokens used_ = 0; ///< Of `reserved_`, once settled.
    std::vector<std::string> tried_;
    int sent_ = 0; ///< Backend servers that were sent the request.
    bool may_have_run_ = false;
    std::optional<text_reply> held_failure_; ///< A server's own failure, passed on if nothing better comes.
    std::optional<unread_prompt> unread_;    ///< Of the current attempt.
    event_splitter events_;
    milliseconds budget_known_after_{0}; ///< For the log, as are the next two.
    std::optional<milliseconds> first_event_after_;
    Json::Value attempts_{Json::arrayValue};
    std::string outcome_ = "answered";
    std::string error_;
};

template <class Core>
task<bool> exchange<Core>::serve() {
    ends_at_ = started_ + std::chrono::hours(1);
    std::optional<refusal> refused = admit();
    if (!refused) {
        refused = co_await reserve_budget();
    }
    if (refused) {
        co_await refuse(std::move(*refused));
    } else {
        co_await send_until_answered();
    }
    limit_.cancel();
    control_.finish();
    settle();
    log_end();
    co_return answer_.reusable() && !control_.ended();
}

template <class Core>
std::optional<refusal> exchange<Core>::admit() {
    if (configuration_ == nullptr) {
        return refusal{refusal_reason::no_configuration, "no configuration is known yet",
                       return_after_outage};
    }
    if (core_.refusing) {
        return refusal{refusal_reason::draining, "this router is stopping", milliseconds(0)};
    }
    const std::string target(request_.target());
    const std::string path = target.substr(0, target.find('?'));
    const std::string host(request_[http::field::host]);
    route_ = configuration_->find_route(host, path);
    if (route_ == nullptr) {
        return refusal{
            refusal_reason::no_route, "no route for host \"" + host + "\" and path \"" + path + "\"", {}};
    }
    return check_terms();
}

template <class Core>
std::optional<refusal> exchange<Core>::check_terms() {
    result<request_terms> decoded = core_.protocol.decode(request_);
    if (!decoded) {
        return refusal{refusal_reason::malformed, decoded.error().message, {}};
    }
    terms_ = std::move(decoded.value());
    limit_time();
    if (route_->needs_key && configuration_->has_customers()) {
        customer_ = terms_.api_key ? configuration_->find_customer_by_key(*terms_.api_key) : nullptr;
        if (customer_ == nullptr) {
            return refusal{refusal_reason::unknown_key, "the key belongs to no customer", {}};
        }
    }
    if (route_->carries_prompt && !terms_.prompt) {
        return refusal{refusal_reason::malformed, "the request does not state its prompt", {}};
    }
    service_ = choose_service(*route_, random_below(1U << 30U));
    core_.retries.record_request(service_, clock::now());
    return std::nullopt;
}

template <class Core>
void exchange<Core>::limit_time() {
    ends_at_ = started_ + std::min(route_->timeout, terms_.deadline.value_or(route_->timeout));
    limit_.expires_at(ends_at_ + answer_margin);
    limit_.async_wait([control = shared_control_](net_error ec) {
        if (!ec) {
            control->note_time_over();
        }
    });
}

template <class Core>
task<std::optional<refusal>> exchange<Core>::reserve_budget() {
    if (!route_->carries_prompt || customer_ == nullptr || !customer_->prepaid) {
        co_return std::nullopt;
    }
    const tokens amount = terms_.prompt->most_tokens();
    const milliseconds patience = std::min(route_->latency_objective, left() / 4);
    const reservation_verdict verdict = co_await core_.budgets.reserve(customer_->name, amount, patience);
    budget_known_after_ = elapsed();
    if (verdict == reservation_verdict::reserved) {
        reserved_ = amount;
        co_return std::nullopt;
    }
    if (verdict == reservation_verdict::exhausted) {
        co_return refusal{refusal_reason::budget_exhausted,
                          "the budget of customer \"" + customer_->name + "\" does not cover " +
                              std::to_string(amount) + " tokens",
                          {}};
    }
    co_return refusal{refusal_reason::budget_unknown,
                      "the budget of customer \"" + customer_->name + "\" cannot be asked now",
                      return_after_outage};
}

template <class Core>
task<void> exchange<Core>::send_until_answered() {
    int unreachable = 0;
    for (;;) {
        if (control_.ended() || left() < least_useful_time) {
            co_return co_await conclude(attempt_end::ended);
        }
        const std::shared_ptr<tracked_backend> server = place();
        if (server == nullptr) {
            co_return co_await conclude(sent_ > 0 ? attempt_end::not_run : attempt_end::not_sent);
        }
        tried_.push_back(server->server.id);
        const attempt_end end = co_await attempt(server);
        Json::Value tried;
        tried["server"] = server->server.id;
        tried["end"] = name_of(end);
        attempts_.append(std::move(tried));
        if (end == attempt_end::answered) {
            co_return;
        }
        unreachable += end == attempt_end::not_sent ? 1 : 0;
        if (unreachable >= most_unreachable || !next_attempt_allowed(end)) {
            co_return co_await conclude(end);
        }
    }
}

/// Whether the request may go to another server after `last`, by the route's rules and the retry budget.
template <class Core>
bool exchange<Core>::next_attempt_allowed(attempt_end last) {
    if (control_.ended() || last == attempt_end::ended) {
        return false;
    }
    if (last == attempt_end::not_sent) {
        return true; // Nothing arrived anywhere.
    }
    const bool proved_not_run = last == attempt_end::not_run || last == attempt_end::wrong_server;
    const bool can_go_on = events_.event_count() == 0 || !events_.last_id().empty();
    const bool resumes = last != attempt_end::broken_midway || (route_->resumable && can_go_on);
    const bool repeatable = (proved_not_run || may_run_again(*route_)) && resumes;
    const int most = route_->max_backend_servers + (last == attempt_end::wrong_server ? 1 : 0);
    return repeatable && sent_ < most && core_.retries.take_retry(service_, clock::now());
}

template <class Core>
std::shared_ptr<tracked_backend> exchange<Core>::place() {
    placement_request wanted;
    wanted.excluded = tried_;
    wanted.random = random_below(1U << 30U);
    if (terms_.prompt) {
        wanted.shared_prompt_part = terms_.prompt->shared_part;
        wanted.shared_tokens = terms_.prompt->shared_tokens;
    }
    return choose_backend_server(core_.directory.ready_in(service_), wanted, clock::now());
}

} // namespace eelgrassgw

#include "gateway/internal/exchange_attempt.h"
#include "gateway/internal/exchange_end.h"

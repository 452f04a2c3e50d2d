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
    core_.retries.note_request(service_, clock::now());
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
    const bool resumes =
        last != attempt_end::broken_midway || (route_->resumable && !events_.last_id().empty());
    const bool repeatable = (proved_not_run || may_run_again(*route_)) && resumes;
    const int most = route_->max_backend_servers + (last == attempt_end::wrong_server ? 1 : 0);
    return repeatable && sent_ < most && core_.retries.take(service_, clock::now());
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

/// Sends the request to `server` and passes its answer on.
template <class Core>
task<attempt_end> exchange<Core>::attempt(std::shared_ptr<tracked_backend> server) {
    auto opened = co_await core_.pool.open(server->server.address, std::min(connect_limit, left()));
    if (!opened) {
        error_ = opened.error().text();
        avoid(*server, rest_unreachable);
        co_return attempt_end::not_sent;
    }
    if (control_.ended() || left() < least_useful_time) {
        co_return attempt_end::ended;
    }
    const std::unique_ptr<connection> to = std::move(opened.value());
    ++server->running;
    unread_.emplace(core_.notices, server, terms_.prompt ? terms_.prompt->own_tokens() : 0);
    control_.attach(to->socket);
    const bool ran_before = may_have_run_;
    may_have_run_ = true;
    ++sent_;
    const attempt_end end = co_await exchange_on(server, *to);
    control_.detach();
    --server->running;
    unread_.reset();
    if (end == attempt_end::not_run || end == attempt_end::wrong_server) {
        may_have_run_ = ran_before;
    }
    co_return end;
}

template <class Core>
task<attempt_end> exchange<Core>::exchange_on(std::shared_ptr<tracked_backend> server, connection& to) {
    backend_send send;
    send.server_id = server->server.id;
    send.left = left();
    send.customer = customer_ == nullptr ? "" : customer_->name;
    send.urgency = customer_ != nullptr && customer_->priority ? *customer_->priority : route_->priority;
    send.resume_after = events_.last_id();
    text_request outgoing = core_.protocol.to_backend(request_, terms_, send);
    net_error ec;
    co_await http::async_write(to.socket, outgoing, with_error(ec));
    // A server may answer before it has read the whole request, so a failed write does not end the attempt.
    backend_reply reply(to, request_.method() == http::verb::head);
    const backend_reply::judgement judge = [this](const reply_head& head) {
        return core_.protocol.judge(head, terms_);
    };
    const answer_kind kind = co_await reply.read_head(judge);
    if (kind == answer_kind::invalid) {
        error_ = ec ? "send to " + to.peer + ": " + ec.message() : reply.error();
        avoid(*server, rest_unusable);
        co_return control_.ended() ? attempt_end::ended : attempt_end::unusable;
    }
    co_return co_await pass_answer(*server, to, reply, kind);
}

template <class Core>
task<attempt_end> exchange<Core>::pass_answer(tracked_backend& server, connection& to, backend_reply& reply,
                                              answer_kind kind) {
    attempt_end end = attempt_end::unusable;
    if (kind == answer_kind::success && is_stream()) {
        end = co_await pass_stream(reply);
    } else {
        end = co_await pass_body(reply, kind);
    }
    const bool declined = kind == answer_kind::not_run || kind == answer_kind::wrong_server;
    if (declined) {
        avoid(server, kind == answer_kind::not_run ? rest_full : rest_wrong);
        end = kind == answer_kind::not_run ? attempt_end::not_run : attempt_end::wrong_server;
    }
    if (end == attempt_end::unusable) {
        avoid(server, rest_unusable);
    }
    const bool complete = declined || end == attempt_end::answered || end == attempt_end::failed;
    const milliseconds keep_for = complete ? reply.reusable_for() : milliseconds(0);
    if (keep_for > milliseconds(0)) {
        control_.detach();
        auto kept = std::make_unique<connection>(std::move(to.socket));
        kept->peer = to.peer;
        core_.pool.keep(std::move(kept), keep_for);
    }
    co_return end;
}

/// Passes whole events on as they come.
template <class Core>
task<attempt_end> exchange<Core>::pass_stream(backend_reply& reply) {
    if (!answer_.started()) {
        answer_head head;
        head.base() = core_.protocol.to_caller(reply.head());
        if (!co_await answer_.start(std::move(head))) {
            control_.note_caller_left();
            co_return attempt_end::ended;
        }
    } else {
        events_.restart();
    }
    for (;;) {
        std::string bytes;
        const auto state = co_await reply.read_piece(bytes);
        std::string whole = events_.take(bytes);
        if (state == backend_reply::body_state::complete) {
            whole += events_.take_rest();
        }
        if (!whole.empty()) {
            first_event_after_ = first_event_after_.value_or(elapsed());
            unread_->note_read();
        }
        if (!co_await answer_.send_piece(std::move(whole))) {
            control_.note_caller_left();
        }
        if (control_.ended() || state != backend_reply::body_state::more) {
            error_ = state == backend_reply::body_state::broken ? reply.error() : "";
            const bool complete = state == backend_reply::body_state::complete && !control_.caller_left();
            if (complete) {
                co_await answer_.finish();
            }
            co_return complete ? attempt_end::answered
            : control_.ended() ? attempt_end::ended
                               : attempt_end::broken_midway;
        }
    }
}

/// Collects the body, and sends it once it is whole; a large one of a success goes out as it comes. Nothing
/// of it goes into an answer that an earlier server began.
template <class Core>
task<attempt_end> exchange<Core>::pass_body(backend_reply& reply, answer_kind kind) {
    std::string body;
    bool passing = false;
    for (bool complete = false; !complete;) {
        std::string bytes;
        const auto state = co_await reply.read_piece(bytes);
        body += bytes;
        if (state == backend_reply::body_state::broken) {
            error_ = reply.error();
            co_return control_.ended() ? attempt_end::ended
            : passing                  ? attempt_end::broken_midway
                                       : attempt_end::unusable;
        }
        complete = state == backend_reply::body_state::complete;
        if (!passing && !complete && kind == answer_kind::success && body.size() > largest_held_answer) {
            passing = true;
            answer_head head;
            head.base() = core_.protocol.to_caller(reply.head());
            if (!co_await answer_.start(std::move(head))) {
                control_.note_caller_left();
            }
        }
        if (passing && !co_await answer_.send_piece(std::exchange(body, {}))) {
            control_.note_caller_left();
        }
        if (passing && control_.ended()) {
            co_return attempt_end::ended;
        }
    }
    if (passing) {
        co_await answer_.finish();
        co_return attempt_end::answered;
    }
    text_reply whole;
    whole.base() = core_.protocol.to_caller(reply.head());
    whole.body() = std::move(body);
    if (kind != answer_kind::success) {
        if (kind == answer_kind::failure) {
            held_failure_ = std::move(whole); // One that declines says nothing of an earlier server's run.
        }
        co_return attempt_end::failed;
    }
    co_await answer_.send_whole(std::move(whole));
    co_return attempt_end::answered;
}

/// Gives the final answer after the last attempt ended as `last`.
template <class Core>
task<void> exchange<Core>::conclude(attempt_end last) {
    if (control_.caller_left()) {
        outcome_ = "caller_left";
        co_return;
    }
    if (answer_.started()) {
        outcome_ = last == attempt_end::ended ? "broken_at_timeout" : "broken_midway";
        co_return; // Without an end it does not look complete.
    }
    const bool out_of_time = last == attempt_end::ended;
    if (may_have_run_ && held_failure_ && !out_of_time) {
        outcome_ = "backend_failure";
        co_await answer_.send_whole(std::move(*held_failure_));
        co_return;
    }
    refusal with = last_refusal(last);
    co_await refuse(std::move(with));
}

/// The gateway's own final answer where no server gave one.
template <class Core>
refusal exchange<Core>::last_refusal(attempt_end last) const {
    const bool out_of_time = last == attempt_end::ended;
    if (may_have_run_) {
        return {out_of_time ? refusal_reason::timeout : refusal_reason::backend_failed, error_, {}};
    }
    if (out_of_time) {
        return {refusal_reason::caller_deadline, "the time for the request is over", {}};
    }
    if (last == attempt_end::not_sent) {
        return {refusal_reason::no_backend_server,
                "no backend server of service \"" + service_ + "\" can be reached", return_after_outage};
    }
    return {refusal_reason::overloaded, "the backend servers of service \"" + service_ + "\" are full",
            return_soon};
}

template <class Core>
task<void> exchange<Core>::refuse(refusal with) {
    outcome_ = name_of(with.reason);
    error_ = with.message;
    if (with.reason == refusal_reason::draining) {
        answer_.close_afterwards();
    }
    text_reply reply = to_reply(with);
    core_.protocol.label(reply, terms_);
    co_await answer_.send_whole(std::move(reply));
}

/// Charges what the caller got: the prompt once, and the events that were passed on. A request of which
/// nothing reached the caller costs its customer nothing.
template <class Core>
void exchange<Core>::settle() {
    if (reserved_ == 0) {
        return;
    }
    if (events_.events() > 0) {
        const tokens per_event = configuration_->find_service(service_).max_tokens_per_event;
        const tokens output = std::min(events_.events() * per_event, terms_.prompt->most_output_tokens);
        used_ = terms_.prompt->prompt_tokens + output;
    }
    core_.budgets.settle(customer_->name, reserved_, used_);
}

template <class Core>
void exchange<Core>::log_end() {
    Json::Value fields;
    fields["request"] = terms_.id;
    fields["outcome"] = outcome_;
    fields["status"] = answer_.status();
    fields["took_ms"] = Json::Int64(elapsed().count());
    fields["configuration"] = Json::UInt64(configuration_ == nullptr ? 0 : configuration_->version());
    fields["route"] = route_ == nullptr ? "" : route_->name;
    if (first_event_after_) {
        fields["first_event_ms"] = Json::Int64(first_event_after_->count());
    }
    if (!error_.empty()) {
        fields["error"] = error_;
    }
    if (!attempts_.empty()) {
        fields["attempts"] = attempts_;
    }
    if (customer_ != nullptr) {
        fields["customer"] = customer_->name;
    }
    if (customer_ != nullptr && route_->carries_prompt) {
        const budget_view budget = core_.budgets.view(customer_->name);
        fields["reserved"] = Json::Int64(reserved_);
        fields["budget_known_ms"] = Json::Int64(budget_known_after_.count());
        fields["used"] = Json::Int64(used_);
        fields["events"] = Json::Int64(events_.events());
        fields["ledger"] = Json::UInt64(budget.ledger_revision);
        fields["ledger_age_ms"] = Json::Int64(budget.ledger_age.count());
        fields["unspent"] = Json::Int64(budget.unspent);
        fields["prepaid"] = Json::Int64(customer_->prepaid.value_or(0));
        fields["available"] = Json::Int64(budget.available);
    }
    core_.metrics.count("requests", {{"outcome", outcome_}});
    if (outcome_ == "answered" || outcome_ == "caller_left") {
        core_.log.write("request", std::move(fields));
    } else {
        core_.log.write_failure("request", std::move(fields));
    }
}

} // namespace eelgrassgw

#pragma once

/// Member functions of `exchange` that finish a request: the final answer, the charge, the log line and the
/// metrics. Included by exchange.h.

#include "gateway/exchange.h"

namespace eelgrassgw {

/// Sends the final answer after the last attempt, whose outcome was `last`.
template <class Core>
task<void> exchange<Core>::send_final_answer(attempt_outcome last) {
    if (control_.caller_left()) {
        outcome_ = "caller_left";
        answer_.break_off(); // It may have closed its sending side only.
        co_return;
    }
    if (answer_.started()) {
        outcome_ = last == attempt_outcome::cancelled ? "broken_at_timeout" : "broken_midway";
        answer_.break_off();
        co_return;
    }
    const bool out_of_time = last == attempt_outcome::cancelled;
    if (sends_.may_have_run() && held_failure_ && !out_of_time) {
        outcome_ = "backend_failure";
        co_await answer_.send_whole(std::move(*held_failure_));
        co_return;
    }
    refusal rejection = final_refusal(last);
    co_await refuse(std::move(rejection));
}

/// Returns the gateway's own final answer for a request that no server answered.
template <class Core>
refusal exchange<Core>::final_refusal(attempt_outcome last) const {
    const bool out_of_time = last == attempt_outcome::cancelled;
    if (sends_.may_have_run()) {
        return {out_of_time ? refusal_reason::timeout : refusal_reason::backend_failed, error_, {}};
    }
    if (out_of_time) {
        return {refusal_reason::caller_deadline, "the time for the request is over", {}};
    }
    if (std::optional<refusal> quarantined = check_quarantine()) {
        return std::move(*quarantined);
    }
    const auto now = clock::now();
    const auto ready = servers_for_request();
    if (ready.empty() && origin_) {
        return make_version_refusal();
    }
    const auto allowed = core_.places.allowed_servers(ready, make_terms());
    if (allowed.empty() && !ready.empty()) {
        return {refusal_reason::no_backend_server,
                "no backend server of service \"" + service_ +
                    "\" may get the request: there is none outside " +
                    "of evacuated data centres and within the allowed regions",
                retry_after_outage};
    }
    const auto pause = core_.places.time_until_available(allowed, make_terms(), now);
    if (!pause && !allowed.empty()) {
        return {refusal_reason::overloaded,
                "every backend server of service \"" + service_ +
                    "\" is cold and this router has no share of it",
                retry_after_overload};
    }
    if (pause.value_or(milliseconds(0)) > milliseconds(0)) {
        return {refusal_reason::overloaded,
                "every backend server of service \"" + service_ +
                    "\" asked for a pause, has reached its limit or is cold",
                *pause};
    }
    if (last == attempt_outcome::not_sent) {
        return {refusal_reason::no_backend_server,
                "no backend server of service \"" + service_ + "\" can be reached", retry_after_outage};
    }
    return {refusal_reason::overloaded, "the backend servers of service \"" + service_ + "\" are full",
            retry_after_overload};
}

/// Returns the refusal that the caller gets in place of `rejection`: one that makes no promise which is not
/// proved.
template <class Core>
refusal exchange<Core>::withhold_unproved_promise(refusal rejection) const {
    const refusal_reason reason = sends_.choose_reason(rejection.reason);
    if (reason != rejection.reason) {
        rejection.reason = reason;
        rejection.retry_after.reset();
    }
    return rejection;
}

template <class Core>
task<void> exchange<Core>::refuse(refusal rejection) {
    rejection = withhold_unproved_promise(std::move(rejection));
    outcome_ = name_of(rejection.reason);
    error_ = rejection.message;
    if (rejection.reason == refusal_reason::draining) {
        answer_.close_connection_afterwards();
    }
    text_reply reply = to_reply(rejection);
    core_.protocol.add_request_id(reply, terms_);
    co_await answer_.send_own(std::move(reply));
}

/// Counts the prompt as consumed once the first event is passed on: from then on a crash of this process does
/// not lose its tokens.
template <class Core>
void exchange<Core>::note_prompt_consumed() {
    if (reserved_tokens_ == 0 || consumed_tokens_ > 0) {
        return;
    }
    consumed_tokens_ = std::min(terms_.prompt->prompt_tokens, reserved_tokens_);
    core_.budgets.add_consumed_tokens(customer_->name, consumed_tokens_);
}

/// Charges the customer for the prompt, once, and for the events that were forwarded to the caller. A request
/// of which nothing reached the caller is free.
template <class Core>
void exchange<Core>::settle_budget() {
    if (reserved_tokens_ == 0) {
        return;
    }
    if (splitter_.event_count() > 0) {
        const tokens per_event = configuration_->find_service(service_).max_tokens_per_event;
        const tokens output = std::min(splitter_.event_count() * per_event, terms_.prompt->max_output_tokens);
        charged_tokens_ = terms_.prompt->prompt_tokens + output;
    }
    core_.budgets.add_consumed_tokens(customer_->name, -consumed_tokens_);
    core_.budgets.settle(customer_->name, reserved_tokens_, charged_tokens_);
}

template <class Core>
void exchange<Core>::log_outcome() {
    Json::Value fields;
    fields["request"] = terms_.id;
    fields["outcome"] = outcome_;
    fields["status"] = answer_.status();
    fields["sends"] = sends_.send_count();
    fields["may_have_run"] = sends_.may_have_run();
    fields["took_ms"] = Json::Int64(elapsed().count());
    fields["configuration"] = Json::UInt64(configuration_ == nullptr ? 0 : configuration_->version());
    fields["route"] = route_ == nullptr ? "" : route_->name;
    if (first_event_after_) {
        fields["first_event_ms"] = Json::Int64(first_event_after_->count());
    }
    if (terms_.take_up) {
        fields["last_event_id"] = terms_.take_up->last_event_id;
        fields["resumes"] = terms_.take_up->first_request_id;
    }
    if (!error_.empty()) {
        fields["error"] = error_;
    }
    if (!attempt_log_.empty()) {
        fields["attempts"] = attempt_log_;
    }
    if (customer_ != nullptr) {
        fields["customer"] = customer_->name;
    }
    if (customer_ != nullptr && route_->carries_prompt) {
        const budget_view budget = core_.budgets.view(customer_->name);
        fields["reserved"] = Json::Int64(reserved_tokens_);
        fields["budget_known_ms"] = Json::Int64(budget_known_after_.count());
        fields["used"] = Json::Int64(charged_tokens_);
        fields["events"] = Json::Int64(splitter_.event_count());
        fields["ledger"] = Json::UInt64(budget.ledger_revision);
        fields["ledger_age_ms"] = Json::Int64(budget.ledger_age.count());
        fields["unspent"] = Json::Int64(budget.unspent);
        fields["prepaid"] = Json::Int64(customer_->prepaid.value_or(0));
        fields["available"] = Json::Int64(budget.available);
    }
    log_order(fields);
    count_outcome();
    if (outcome_ == "answered" || outcome_ == "caller_left") {
        core_.log.write("request", std::move(fields));
    } else {
        core_.log.write_failure("request", std::move(fields));
    }
}

template <class Core>
void exchange<Core>::count_outcome() {
    core_.metrics.count("requests", {{"outcome", outcome_}});
    core_.metrics.observe("request", elapsed(), {{"outcome", outcome_}});
    if (first_event_after_) {
        core_.metrics.observe("first_event", *first_event_after_);
    }
    if (reserved_tokens_ > 0) {
        core_.metrics.observe("budget_wait", budget_known_after_);
    }
}

} // namespace eelgrassgw

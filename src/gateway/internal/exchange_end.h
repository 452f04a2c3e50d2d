#pragma once

/// The final answer of a request, its charge, its log line and its metrics. Part of exchange.h.

#include "gateway/exchange.h"

namespace eelgrassgw {

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
    if (events_.event_count() > 0) {
        const tokens per_event = configuration_->find_service(service_).max_tokens_per_event;
        const tokens output = std::min(events_.event_count() * per_event, terms_.prompt->most_output_tokens);
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
        fields["events"] = Json::Int64(events_.event_count());
        fields["ledger"] = Json::UInt64(budget.ledger_revision);
        fields["ledger_age_ms"] = Json::Int64(budget.ledger_age.count());
        fields["unspent"] = Json::Int64(budget.unspent);
        fields["prepaid"] = Json::Int64(customer_->prepaid.value_or(0));
        fields["available"] = Json::Int64(budget.available);
    }
    count_end();
    if (outcome_ == "answered" || outcome_ == "caller_left") {
        core_.log.write("request", std::move(fields));
    } else {
        core_.log.write_failure("request", std::move(fields));
    }
}

template <class Core>
void exchange<Core>::count_end() {
    core_.metrics.count("requests", {{"outcome", outcome_}});
    core_.metrics.observe("request", elapsed(), {{"outcome", outcome_}});
    if (first_event_after_) {
        core_.metrics.observe("first_event", *first_event_after_);
    }
    if (reserved_ > 0) {
        core_.metrics.observe("budget_wait", budget_known_after_);
    }
}

} // namespace eelgrassgw

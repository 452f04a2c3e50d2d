#pragma once

/// Implements one round of the budget keeper: planning changes, sending them to the ledger and handling the
/// outcome. This file is part of budget_keeper.h.

#include "budgets/budget_keeper.h"

namespace eelgrassgw {

/// Sends up to `max_requests_per_round` requests to the ledger, until the allowances need no change. Returns
/// whether the ledger was available.
template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::run_round() {
    if (!unconfirmed_writes_.empty() && !co_await read_ledger()) {
        co_return false;
    }
    bool ledger_is_updated = false;
    for (int i = 0; i < max_requests_per_round; ++i) {
        const planned_changes changes = plan_changes();
        const bool writes = changes.is_due || idle_write_is_due() || has_forgotten_writes_;
        const bool needs_ledger = has_waiting_requests() || ledger_is_recovering() || must_read_ledger_;
        if (!writes && (!needs_ledger || ledger_is_updated)) {
            co_return !ledger_is_recovering();
        }
        bool answered = false;
        if (has_forgotten_writes_) {
            answered = co_await write_forgotten_changes();
        } else if (writes) {
            answered = co_await write_changes(changes);
        } else {
            answered = co_await read_ledger();
        }
        if (!answered) {
            co_return false;
        }
        must_read_ledger_ = false;
        ledger_is_updated = true;
        serve_waiting_requests(true);
    }
    wake();
    co_return !ledger_is_recovering();
}

template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::read_ledger() {
    ledger_request request;
    request.router = identity_.router;
    request.is_urgent = has_waiting_requests();
    co_return co_await submit(request);
}

template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::write_changes(const planned_changes& changes) {
    ++last_sequence_;
    ledger_request request = make_write_request();
    request.previous = confirmed_sequence_;
    request.is_last = stopped_;
    request.changes = changes.amounts;
    unconfirmed_writes_.push_back({request.sequence, request.changes});
    withdraw_returns(unconfirmed_writes_.back());
    const auto started = clock::now();
    const bool answered = co_await submit(request);
    if (answered && confirmed_sequence_ == request.sequence) {
        last_write_began_at_ = started;
        last_write_at_ = clock::now();
        last_write_duration_ =
            std::chrono::duration_cast<std::chrono::milliseconds>(last_write_at_ - started);
    }
    co_return answered;
}

template <ledger_service Ledger>
ledger_request budget_keeper<Ledger>::make_write_request() const {
    ledger_request request;
    request.router = identity_.router;
    request.notice_address = identity_.notice_address;
    request.sequence = last_sequence_;
    request.is_urgent = has_waiting_requests();
    if (confirmed_era_ < known_ledger_.position.era) {
        request.routers_seen = routers_seen_;
    }
    return request;
}

/// Writes the changes again that the ledger lacks because the store was restored from an older copy. The
/// tokens were credited when the changes were applied for the first time.
template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::write_forgotten_changes() {
    ++last_sequence_;
    ledger_request request = make_write_request();
    request.previous = known_ledger_.ledger.last_write(identity_.router).sequence;
    request.is_restoration = true;
    Json::Value fields;
    fields["era"] = Json::UInt64(known_ledger_.position.era);
    fields["after_sequence"] = Json::UInt64(request.previous);
    for (const auto& [customer, amount] : applied_writes_.sum_after(request.previous)) {
        request.changes[customer] = {amount, prepaid_of(customer)};
        fields["tokens"][customer] = Json::Int64(amount);
    }
    log_("grants_written_again", std::move(fields));
    unconfirmed_writes_.push_back({request.sequence, request.changes, true});
    const bool answered = co_await submit(request);
    if (answered && confirmed_sequence_ == request.sequence) {
        last_write_at_ = clock::now();
    }
    co_return answered;
}

/// Sends a request and updates the known ledger from the outcome. Returns false if the outcome is unknown.
template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::submit(const ledger_request& request) {
    const auto asked_at = clock::now();
    const ledger_outcome outcome = co_await ledger_.submit(request);
    if (outcome.status == ledger_outcome::status_kind::unknown) {
        Json::Value fields;
        fields["error"] = outcome.error;
        fields["sequence"] = Json::UInt64(request.sequence);
        log_("ledger_request_unknown", std::move(fields));
        co_return false;
    }
    if (outcome.current.position >= known_ledger_.position) {
        note_ledger(outcome.current);
        known_ledger_asked_at_ = asked_at;
    }
    co_return true;
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::note_ledger(const versioned_ledger& received) {
    const bool restored =
        known_ledger_.position.revision != 0 && received.position.era > known_ledger_.position.era;
    if (restored) {
        Json::Value fields;
        fields["old_era"] = Json::UInt64(known_ledger_.position.era);
        fields["new_era"] = Json::UInt64(received.position.era);
        log_("ledger_restored", std::move(fields));
        note_routers_seen();
    }
    known_ledger_ = received;
    known_ledger_at_ = clock::now();
    resolve_unconfirmed_writes(known_ledger_.ledger.last_write(identity_.router));
}

/// Remembers the other active routers of the ledger that is about to be replaced by a restored one, which may
/// not know all of them.
template <ledger_service Ledger>
void budget_keeper<Ledger>::note_routers_seen() {
    routers_seen_.clear();
    for (const auto& [router, last] :
         known_ledger_.ledger.recent_writers(budget_ledger::active_router_window)) {
        if (router != identity_.router && !last.closed) {
            routers_seen_.insert(router);
        }
    }
}

/// Determines from the router's last write in the ledger which unconfirmed write was applied. Each of them
/// applies only while the confirmed write is the router's last one, so at most one is ever applied. If the
/// store was restored from a copy that lacks the confirmed write, none of them can apply any more.
template <ledger_service Ledger>
void budget_keeper<Ledger>::resolve_unconfirmed_writes(const budget_ledger::writer& last) {
    const std::uint64_t era = known_ledger_.position.era;
    has_forgotten_writes_ = last.sequence < confirmed_sequence_ && confirmed_era_ < era;
    if (has_forgotten_writes_) {
        for (const unconfirmed_write& each : unconfirmed_writes_) {
            restore_returns(each);
        }
        unconfirmed_writes_.clear();
        return;
    }
    if (last.sequence == confirmed_sequence_) {
        return;
    }
    confirmed_era_ = era;
    for (const unconfirmed_write& each : unconfirmed_writes_) {
        if (each.sequence == last.sequence) {
            credit_grants(each, last);
        } else {
            restore_returns(each);
        }
    }
    unconfirmed_writes_.clear();
    confirmed_sequence_ = last.sequence;
}

template <ledger_service Ledger>
typename budget_keeper<Ledger>::planned_changes budget_keeper<Ledger>::plan_changes() const {
    planned_changes changes;
    const auto now = clock::now();
    for (const auto& [customer, available] : allowances_.available_by_customer()) {
        const allowance_change change =
            stopped_ ? allowance_change{-available, available > 0}
                     : allowances_.wanted_change(customer, unspent(customer), router_count(),
                                                 refill_duration(), now);
        if (change.amount != 0) {
            changes.amounts[customer] = {change.amount, prepaid_of(customer)};
            changes.is_due = changes.is_due || change.is_due;
        }
    }
    return changes;
}

template <ledger_service Ledger>
tokens budget_keeper<Ledger>::prepaid_of(const std::string& customer) const {
    const auto* definition = configuration_ == nullptr ? nullptr : configuration_->find_customer(customer);
    return definition == nullptr ? 0 : definition->prepaid.value_or(0);
}

template <ledger_service Ledger>
tokens budget_keeper<Ledger>::unspent(const std::string& customer) const {
    return prepaid_of(customer) - known_ledger_.ledger.taken_by_all(customer);
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::withdraw_returns(const unconfirmed_write& write) {
    for (const auto& [customer, wanted] : write.changes) {
        if (wanted.amount < 0) {
            allowances_.add(customer, wanted.amount);
        }
    }
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::restore_returns(const unconfirmed_write& write) {
    if (write.is_restoration) {
        return;
    }
    for (const auto& [customer, wanted] : write.changes) {
        if (wanted.amount < 0) {
            allowances_.add(customer, -wanted.amount);
        }
    }
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::credit_grants(const unconfirmed_write& write, const budget_ledger::writer& last) {
    if (write.is_restoration) {
        return;
    }
    std::map<std::string, tokens> applied_changes;
    for (const auto& [customer, wanted] : write.changes) {
        const tokens granted = last.granted(customer, wanted.amount);
        applied_changes[customer] = granted;
        if (granted > 0) {
            allowances_.add(customer, granted);
        }
    }
    applied_writes_.add(write.sequence, std::move(applied_changes), clock::now());
}

} // namespace eelgrassgw

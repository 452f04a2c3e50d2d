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
        const bool writes = changes.is_due || idle_write_is_due();
        const bool reads = has_waiting_requests() && !ledger_is_updated;
        if (!writes && !reads) {
            co_return true;
        }
        const bool answered = writes ? co_await write_changes(changes) : co_await read_ledger();
        if (!answered) {
            co_return false;
        }
        ledger_is_updated = true;
        serve_waiting_requests(true);
    }
    wake();
    co_return true;
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
    ledger_request request;
    request.router = identity_.router;
    request.notice_address = identity_.notice_address;
    request.sequence = ++last_sequence_;
    request.previous = confirmed_sequence_;
    request.is_urgent = has_waiting_requests();
    request.changes = changes.amounts;
    unconfirmed_writes_.push_back({request.sequence, request.changes});
    withdraw_returns(unconfirmed_writes_.back());
    const auto started = clock::now();
    const bool answered = co_await submit(request);
    if (answered && confirmed_sequence_ == request.sequence) {
        last_write_at_ = clock::now();
        last_write_duration_ =
            std::chrono::duration_cast<std::chrono::milliseconds>(last_write_at_ - started);
    }
    co_return answered;
}

/// Sends a request and updates the known ledger from the outcome. Returns false if the outcome is unknown.
template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::submit(const ledger_request& request) {
    const ledger_outcome outcome = co_await ledger_.submit(request);
    if (outcome.status == ledger_outcome::status_kind::unknown) {
        Json::Value fields;
        fields["error"] = outcome.error;
        fields["sequence"] = Json::UInt64(request.sequence);
        log_("ledger_request_unknown", std::move(fields));
        co_return false;
    }
    if (outcome.current.revision >= known_ledger_.revision) {
        known_ledger_ = outcome.current;
        known_ledger_at_ = clock::now();
        resolve_unconfirmed_writes(known_ledger_.ledger.last_write(identity_.router));
    }
    co_return true;
}

/// Determines from the router's last write in the ledger which unconfirmed write was applied. Each of them
/// applies only while the confirmed write is the router's last one, so at most one is ever applied.
template <ledger_service Ledger>
void budget_keeper<Ledger>::resolve_unconfirmed_writes(const budget_ledger::writer& last) {
    if (last.sequence == confirmed_sequence_) {
        return;
    }
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
    for (const auto& [customer, wanted] : write.changes) {
        if (wanted.amount < 0) {
            allowances_.add(customer, -wanted.amount);
        }
    }
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::credit_grants(const unconfirmed_write& write, const budget_ledger::writer& last) {
    for (const auto& [customer, wanted] : write.changes) {
        const tokens granted = last.granted(customer, wanted.amount);
        if (granted > 0) {
            allowances_.add(customer, granted);
        }
    }
}

} // namespace eelgrassgw

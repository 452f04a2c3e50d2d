#pragma once

/// One round of a router's budget keeper with the ledger: what to ask for, and what became of it. Part of
/// budget_keeper.h.

#include "budgets/budget_keeper.h"

namespace eelgrassgw {

/// Brings allowances and ledger to what is wanted. Returns whether the ledger could be asked.
template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::round() {
    if (!open_.empty() && !co_await look()) {
        co_return false;
    }
    bool has_news = false;
    for (int i = 0; i < most_requests; ++i) {
        const planned_changes changes = plan();
        const bool writes = changes.is_due || must_show_presence();
        const bool looks = anyone_waits() && !has_news;
        if (!writes && !looks) {
            co_return true;
        }
        const bool answered = writes ? co_await write(changes) : co_await look();
        if (!answered) {
            co_return false;
        }
        has_news = true;
        serve_waiting(true);
    }
    wake();
    co_return true;
}

template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::look() {
    ledger_request request;
    request.router = self_.router;
    request.is_urgent = anyone_waits();
    co_return co_await submit(request);
}

template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::write(const planned_changes& changes) {
    ledger_request request;
    request.router = self_.router;
    request.notice_address = self_.notice_address;
    request.sequence = ++sequence_;
    request.previous = confirmed_;
    request.is_urgent = anyone_waits();
    request.changes = changes.amounts;
    open_.push_back({request.sequence, request.changes});
    withdraw_returns(open_.back());
    const auto begun = clock::now();
    const bool answered = co_await submit(request);
    if (answered && confirmed_ == request.sequence) {
        written_at_ = clock::now();
        round_time_ = std::chrono::duration_cast<std::chrono::milliseconds>(written_at_ - begun);
    }
    co_return answered;
}

/// Sends a request and takes in the ledger that comes back. False where none did.
template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::submit(const ledger_request& request) {
    const ledger_outcome outcome = co_await ledger_.submit(request);
    if (outcome.how == ledger_outcome::kind::unknown) {
        Json::Value fields;
        fields["error"] = outcome.why;
        fields["sequence"] = Json::UInt64(request.sequence);
        log_("ledger_request_unknown", std::move(fields));
        co_return false;
    }
    if (outcome.now.revision >= known_.revision) {
        known_ = outcome.now;
        known_at_ = clock::now();
        resolve_open_writes(known_.ledger.last_write(self_.router));
    }
    co_return true;
}

/// Learns from the router's last write in the ledger what became of those that were open: each of them
/// applies only after the one that was confirmed before, so once another is there, the rest never apply.
template <ledger_service Ledger>
void budget_keeper<Ledger>::resolve_open_writes(const budget_ledger::writer& last) {
    if (last.sequence == confirmed_) {
        return;
    }
    for (const open_write& each : open_) {
        if (each.sequence == last.sequence) {
            credit_grants(each, last);
        } else {
            restore_returns(each);
        }
    }
    open_.clear();
    confirmed_ = last.sequence;
}

template <ledger_service Ledger>
typename budget_keeper<Ledger>::planned_changes budget_keeper<Ledger>::plan() const {
    planned_changes changes;
    const auto now = clock::now();
    for (const auto& [customer, available] : allowances_.all_available()) {
        const allowance_change change =
            stopped_ ? allowance_change{-available, available > 0}
                     : allowances_.wanted_change(customer, unspent(customer), routers(), covered_time(), now);
        if (change.amount != 0) {
            changes.amounts[customer] = {change.amount, prepaid_of(customer)};
            changes.is_due = changes.is_due || change.is_due;
        }
    }
    return changes;
}

template <ledger_service Ledger>
tokens budget_keeper<Ledger>::prepaid_of(const std::string& customer) const {
    const auto* of = configuration_ == nullptr ? nullptr : configuration_->find_customer(customer);
    return of == nullptr ? 0 : of->prepaid.value_or(0);
}

template <ledger_service Ledger>
tokens budget_keeper<Ledger>::unspent(const std::string& customer) const {
    return prepaid_of(customer) - known_.ledger.taken_by_all(customer);
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::withdraw_returns(const open_write& of) {
    for (const auto& [customer, wanted] : of.changes) {
        if (wanted.amount < 0) {
            allowances_.add(customer, wanted.amount);
        }
    }
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::restore_returns(const open_write& of) {
    for (const auto& [customer, wanted] : of.changes) {
        if (wanted.amount < 0) {
            allowances_.add(customer, -wanted.amount);
        }
    }
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::credit_grants(const open_write& of, const budget_ledger::writer& last) {
    for (const auto& [customer, wanted] : of.changes) {
        const tokens granted = last.granted(customer, wanted.amount);
        if (granted > 0) {
            allowances_.add(customer, granted);
        }
    }
}

} // namespace eelgrassgw

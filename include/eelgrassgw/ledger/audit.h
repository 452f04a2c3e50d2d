#pragma once

/// Compares the billing journals with the ledger, exact to a single token.

#include "eelgrassgw/journal/journal_store.h"

#include <map>

namespace eelgrassgw {

/// The audit's totals for one budget, in tokens.
struct audited_budget {
    std::string budget;
    std::string customer;
    tokens paid = 0;                ///< Tokens paid in, according to the ledger.
    tokens settled = 0;             ///< Tokens billed, according to the ledger.
    tokens withheld = 0;            ///< Tokens withheld, according to the ledger.
    tokens allowances = 0;          ///< Tokens that routers hold, according to the ledger.
    tokens free = 0;                ///< Tokens that no router holds, according to the ledger.
    tokens journalled = 0;          ///< Tokens billed in segments that the ledger has folded.
    tokens journalled_withheld = 0; ///< Tokens withheld in segments that the ledger has folded.
    tokens not_yet_folded = 0; ///< Tokens billed or withheld in segments that the ledger has not folded yet.
    tokens withheld_unrecorded = 0; ///< Allowances that recovery withheld without a billing record.
};

/// The result of an audit. It found no fault if `differences` is empty.
struct audit_report {
    std::vector<audited_budget> budgets;
    std::vector<std::string> differences; ///< Descriptions that each name the budget or the request.
    std::size_t records = 0;              ///< Number of billing records read.
};

/// The objects that the audit compares. The journals are read twice: before the ledger, to find out what a
/// closed holder has folded, and after it, to include every segment that an open holder has folded.
struct audit_input {
    std::vector<stored_object> journals_before;
    std::vector<stored_object> ledger;
    std::vector<stored_object> journals_after;
};

/// Compares the journals with the ledger. Fails if a stored object is malformed.
result<audit_report> audit_ledger(const audit_input& input);

/// Reads the objects for `audit_ledger` from the store. The function is thread-safe.
template <object_store Store>
result<audit_input> read_audit_input(Store& store) {
    audit_input input;
    const result<object_changes> before = store.list(journal_prefix);
    if (!before) {
        return before.error();
    }
    const result<object_changes> ledger = store.list(ledger_prefix);
    if (!ledger) {
        return ledger.error();
    }
    const result<object_changes> after = store.list(journal_prefix);
    if (!after) {
        return after.error();
    }
    input.journals_before = before.value().changed;
    input.ledger = ledger.value().changed;
    input.journals_after = after.value().changed;
    return input;
}

} // namespace eelgrassgw

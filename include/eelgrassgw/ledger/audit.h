#pragma once

/// Comparing the journal with the ledger, to the token.

#include "eelgrassgw/journal/journal_store.h"

#include <map>

namespace eelgrassgw {

/// What the audit found of one budget.
struct audited_budget {
    std::string budget;
    std::string customer;
    tokens paid = 0;
    tokens settled = 0; ///< As the ledger says.
    tokens withheld = 0;
    tokens allowances = 0;
    tokens free = 0;
    tokens journalled = 0; ///< Billed in segments that the ledger counts.
    tokens journalled_withheld = 0;
    tokens not_yet_folded = 0;      ///< Billed in segments that the ledger does not count yet.
    tokens withheld_unrecorded = 0; ///< Allowances that recovery withheld; no request stands behind them.
};

struct audit_report {
    std::vector<audited_budget> budgets;
    std::vector<std::string> differences; ///< Each names the budget or the request.
    std::size_t records = 0;
};

/// What the audit reads. The journals are read before the ledger (to know what a closed holder folded) and
/// after it (to have every segment that an open holder folded).
struct audit_input {
    std::vector<stored_object> journals_before;
    std::vector<stored_object> ledger;
    std::vector<stored_object> journals_after;
};

/// Compares. Errors: an object cannot be read.
result<audit_report> audit_ledger(const audit_input& input);

/// Reads what the audit needs. Thread-safe.
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

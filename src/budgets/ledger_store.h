#pragma once

/// Defines the interface of a store that holds the budget ledger.

#include "budgets/budget_ledger.h"
#include "net/task.h"
#include "store/store_objects.h"

#include <concepts>
#include <cstdint>
#include <string>

namespace eelgrassgw {

/// A ledger with its position in the store; revision 0 means that no ledger has been stored yet.
struct versioned_ledger {
    budget_ledger ledger;
    store_position position;
};

/// The outcome of a conditional write.
struct ledger_write {
    enum class status_kind {
        applied,  ///< The write succeeded; `current` is the written ledger.
        conflict, ///< The write was not applied; `current` is the current ledger.
        unknown,  ///< The write may have been applied, or may still be applied later.
    };
    status_kind status = status_kind::unknown;
    versioned_ledger current;
    std::string error; ///< Error message if the outcome is `unknown`.
};

/// A store that holds the ledger. A write succeeds only if the stored revision still equals
/// `expected_revision`.
template <class T>
concept ledger_store = requires(T store, const budget_ledger& ledger, std::uint64_t expected_revision) {
    { store.read() } -> std::same_as<task<result<versioned_ledger>>>;
    { store.write(ledger, expected_revision) } -> std::same_as<task<ledger_write>>;
};

} // namespace eelgrassgw

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

/// The outcome of a conditional write of the ledger, whose object is decoded in `current`.
struct ledger_write {
    using status_kind = object_write::status_kind;

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

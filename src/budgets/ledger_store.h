#pragma once

/// Where the budget ledger lies, and how writes to it end.

#include "budgets/budget_ledger.h"
#include "net/task.h"

#include <concepts>
#include <cstdint>
#include <string>

namespace eelgrassgw {

/// A ledger with the store's revision of it; revision 0 means that there is none yet.
struct versioned_ledger {
    budget_ledger ledger;
    std::uint64_t revision = 0;
};

/// How a conditional write ended.
struct ledger_write {
    enum class outcome {
        applied,  ///< `now` is what was written.
        conflict, ///< Certainly not applied; `now` is the ledger as it is.
        unknown,  ///< May have been applied, or may be later.
    };
    outcome how = outcome::unknown;
    versioned_ledger now;
    std::string why; ///< For `unknown`: the error.
};

/// Where the ledger lies. A write succeeds only if the ledger still has `expected`.
template <class T>
concept ledger_store = requires(T store, const budget_ledger& ledger, std::uint64_t expected) {
    { store.read() } -> std::same_as<task<result<versioned_ledger>>>;
    { store.write(ledger, expected) } -> std::same_as<task<ledger_write>>;
};

} // namespace eelgrassgw

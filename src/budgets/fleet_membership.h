#pragma once

/// The routers of the fleet as the ledger lists them.

#include "budgets/budget_ledger.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A reading of the routers that may be running, by which they divide work among themselves without messages.
struct fleet_membership {
    using time_point = std::chrono::steady_clock::time_point;

    std::string own;                  ///< Incarnation of this router.
    std::vector<std::string> routers; ///< Incarnations of all routers that may be running, in order.
    std::uint64_t era = 0;            ///< Era of the store.
    time_point read_at{};             ///< Time at which the call began whose answer lists them.
    time_point own_write_at{};        ///< Time at which this router's last confirmed write began.
    bool is_complete = false;         ///< False before the first reading and while the ledger recovers.
};

/// Returns the incarnations that may be running: those that wrote within the ledger's active window, without
/// those that have ended and those whose address another incarnation uses by now.
std::vector<std::string> routers_that_may_run(const budget_ledger& ledger);

} // namespace eelgrassgw

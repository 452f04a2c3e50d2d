#pragma once

/// What one router may spend of each customer's budget without asking anyone.

#include "budgets/budget_ledger.h"

#include <chrono>
#include <map>
#include <string>

namespace eelgrassgw {

/// How large allowances are. Load answered: outages of the store for a few seconds, and the death of routers,
/// whose allowances are lost to the customer.
struct allowance_policy {
    std::chrono::milliseconds horizon{700}; ///< Demand that an allowance covers while the budget lasts.
    std::chrono::milliseconds scarce_horizon{300}; ///< Demand that a router keeps when the budget runs out.
    double largest_share = 0.5; ///< Of the unspent budget that all routers together may hold.
};

/// What a router would like to change in the ledger for one customer.
struct allowance_change {
    tokens amount = 0;   ///< To take from the ledger (positive) or to give back (negative).
    bool is_due = false; ///< Worth a write of its own; others go along with the next write.
};

/// Tokens of an allowance are in exactly one place: available, or reserved by a running request.
/// Not thread-safe.
class allowance_table {
public:
    using clock = std::chrono::steady_clock;

    explicit allowance_table(const allowance_policy& policy) : policy_(policy) {}

    void set_policy(const allowance_policy& policy) { policy_ = policy; }

    /// Sets `amount` aside for a request; false, and nothing changes, where less is available.
    bool reserve(const std::string& customer, tokens amount);

    /// Ends a reservation. What was not used is available again. Precondition: 0 <= used.
    void settle(const std::string& customer, tokens reserved, tokens used);

    /// A request asked for `amount`, whether it could be reserved or not.
    void note_demand(const std::string& customer, tokens amount, clock::time_point now);

    /// A request that waits for `amount` came or, with a negative amount, went.
    void note_waiting(const std::string& customer, tokens amount);

    /// Adds tokens that the ledger granted, or takes away (negative) those that go back.
    void add(const std::string& customer, tokens amount);

    tokens available(const std::string& customer) const;
    tokens reserved(const std::string& customer) const;

    /// Whether a router that knows no recent ledger should ask for more soon; `covered` as below.
    bool runs_low(const std::string& customer, std::chrono::milliseconds covered,
                  clock::time_point now) const;

    /// What to change in the ledger, given the budget's `unspent` tokens, which may be negative, and the
    /// number of routers that share it. `covered` is how long a write may take, which the allowance must
    /// bridge too. Precondition: `routers` > 0.
    allowance_change wanted_change(const std::string& customer, tokens unspent, int routers,
                                   std::chrono::milliseconds covered, clock::time_point now) const;

    /// Customers with tokens here or demand.
    std::map<std::string, tokens> all_available() const;

private:
    struct account {
        tokens available = 0;
        tokens reserved = 0;
        tokens waiting = 0;
        double recent_demand = 0; ///< Tokens, decaying.
        clock::time_point demand_at{};
    };

    const account* find(const std::string& customer) const;
    double demand_per_ms(const account& of, clock::time_point now) const;

    allowance_policy policy_;
    std::map<std::string, account> accounts_;
};

} // namespace eelgrassgw

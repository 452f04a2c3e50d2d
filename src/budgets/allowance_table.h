#pragma once

/// Keeps the tokens that one router may spend of each customer's budget without asking the ledger.

#include "budgets/budget_ledger.h"
#include "budgets/budget_view.h"

#include <chrono>
#include <map>
#include <string>

namespace eelgrassgw {

/// Controls how large allowances are. Large allowances let a router continue while the store is unreachable
/// for a few seconds; small ones limit the tokens that a customer loses when a router crashes with its
/// allowance.
struct allowance_policy {

    /// Time of demand that an allowance covers while enough budget is left.
    std::chrono::milliseconds horizon{700};

    /// Time of demand that a router may keep when the budget runs out.
    std::chrono::milliseconds scarce_horizon{300};

    /// Largest fraction of the unspent budget that all routers together may hold.
    double max_unspent_share = 0.5;

    /// A budget is scarce if the ledger holds less than this for each router. Routers then keep nothing in
    /// advance and return what no request needs, so that the rest of the budget is not spread over many
    /// routers in parts that cover no request.
    tokens scarce_tokens_per_router = 12000;
};

/// A change that a router wants to make to the ledger for one customer.
struct allowance_change {
    /// Returns the change that brings an allowance from `available` to `target` tokens.
    static allowance_change toward(tokens target, tokens available, bool is_due) {
        return {target - available, is_due && target != available};
    }

    tokens amount = 0;   ///< Tokens to take from the ledger if positive, to return to it if negative.
    bool is_due = false; ///< Whether the change justifies a write; otherwise it is added to the next write.
};

/// Holds this router's allowance for each customer. Each token of an allowance is either available or
/// reserved by a running request, never both. Not thread-safe.
class allowance_table {
public:
    using clock = std::chrono::steady_clock;

    explicit allowance_table(const allowance_policy& policy) : policy_(policy) {}

    void set_policy(const allowance_policy& policy) { policy_ = policy; }

    /// Reserves `amount` for a request. Returns false and changes nothing if fewer tokens are available.
    bool reserve(const std::string& customer, tokens amount);

    /// Records that callers have been sent an answer for `amount` of the reserved tokens. A negative amount
    /// takes that back, which must happen before the reservation is settled.
    void add_consumed_tokens(const std::string& customer, tokens amount);

    /// Ends a reservation and makes its unused tokens available again. Precondition: 0 <= used.
    void settle(const std::string& customer, tokens reserved, tokens used);

    /// Records that a request asked for `amount`, whether or not it could be reserved.
    void record_demand(const std::string& customer, tokens amount, clock::time_point now);

    /// Adds `amount` to the tokens that queued requests wait for; a negative amount subtracts.
    void add_waiting_tokens(const std::string& customer, tokens amount);

    /// Adds tokens that the ledger granted; a negative amount removes tokens that are returned to it.
    void add(const std::string& customer, tokens amount);

    /// Returns the customer's tokens that can be reserved.
    tokens available(const std::string& customer) const;

    /// Returns the customer's tokens that running requests have reserved.
    tokens reserved(const std::string& customer) const;

    /// Returns whether the allowance needs a refill soon, judged without the state of the ledger. See
    /// `wanted_change` for `refill_duration`.
    bool runs_low(const std::string& customer, std::chrono::milliseconds refill_duration,
                  clock::time_point now) const;

    /// Returns the change to request from the ledger, given the budget's `unspent` tokens, which may be
    /// negative, and the number of `routers` that share the budget. The allowance must also cover the demand
    /// during `refill_duration`, the longest time that a refill is expected to take. Precondition: `routers`
    /// is positive.
    allowance_change wanted_change(const std::string& customer, tokens unspent, int routers,
                                   std::chrono::milliseconds refill_duration, clock::time_point now) const;

    /// Returns what became of the taken tokens of all customers.
    held_tokens total() const;

    /// Returns the available tokens of every customer that has had tokens or demand at this router.
    std::map<std::string, tokens> available_by_customer() const;

private:
    struct account {
        tokens available = 0;
        tokens reserved = 0;
        tokens consumed = 0;           ///< Reserved tokens that callers have been sent an answer for.
        tokens charged = 0;            ///< Tokens that ended requests have used.
        tokens waiting = 0;            ///< Tokens that queued requests wait for.
        double recent_demand = 0;      ///< Exponentially decaying sum of requested tokens, as of `demand_at`.
        clock::time_point demand_at{}; ///< Time of the last request.
    };

    const account* find(const std::string& customer) const;
    static allowance_change scarce_change(const account& customer_account, tokens grantable);
    double demand_per_ms(const account& customer_account, clock::time_point now) const;

    allowance_policy policy_;
    std::map<std::string, account> accounts_;
};

} // namespace eelgrassgw

#pragma once

/// A router's local record of its allowances: the tokens that it may spend without asking the ledger.

#include "eelgrassgw/ledger/ledger_shard.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace eelgrassgw {

using steady_time = std::chrono::steady_clock::time_point;

/// A router's local state of one budget.
struct allowance_state {
    tokens granted = 0;  ///< Tokens that the ledger granted and that are not yet folded.
    tokens reserved = 0; ///< Tokens reserved for requests in flight.
    tokens spent = 0;    ///< Tokens used or withheld that are not yet folded.

    tokens available() const { return granted - reserved - spent; }
};

/// Tracks the allowance of each budget. Invariant: reserved + spent <= granted for each budget. The class is
/// thread-safe.
class allowance_book {
public:
    /// Reserves `amount` for one request. Returns false and changes nothing if fewer tokens are available.
    bool reserve(const std::string& budget, tokens amount, steady_time now);

    /// Ends a reservation. Counts `used` as spent and makes the rest available again.
    /// Precondition: 0 <= used <= reserved.
    void settle(const std::string& budget, tokens reserved, tokens used);

    /// Adds tokens that the ledger granted to this router. A negative amount removes them.
    void add_grant(const std::string& budget, tokens amount);

    /// Removes up to `amount` available tokens, which the caller returns to the ledger. Returns the number
    /// removed.
    tokens withdraw_available(const std::string& budget, tokens amount);

    /// Removes `amount` from the granted and the spent tokens, after the ledger has counted it as settled or
    /// withheld.
    void remove_folded(const std::string& budget, tokens amount);

    /// Returns the state of `budget`, which is all zero for an unknown budget.
    allowance_state state(const std::string& budget) const;

    /// Returns the names of all budgets in the book.
    std::vector<std::string> budgets() const;

    /// Returns this router's recent rate of reservations on `budget`, in tokens per second.
    double spend_rate_per_second(const std::string& budget, steady_time now) const;

    /// Returns the available tokens in excess of what the recent rate would use in `keep_for`. Returns 0 for
    /// a budget that was used after `idle_since`.
    tokens idle_tokens(const std::string& budget, std::chrono::seconds keep_for, steady_time idle_since,
                       steady_time now) const;

private:
    struct entry {
        allowance_state state;
        double recent_tokens = 0; ///< Exponentially decaying sum of reserved tokens.
        steady_time last_used{};  ///< Time of the last reservation.
    };

    mutable std::mutex mutex_;
    std::map<std::string, entry> entries_;
};

} // namespace eelgrassgw

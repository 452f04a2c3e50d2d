#pragma once

/// A router's own record of its allowances: what it may still spend without asking anyone.

#include "eelgrassgw/ledger/ledger_shard.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace eelgrassgw {

using steady_time = std::chrono::steady_clock::time_point;

/// One budget as a router sees it.
struct allowance_state {
    tokens granted = 0;  ///< Confirmed by the ledger and not yet folded.
    tokens reserved = 0; ///< For requests in flight.
    tokens spent = 0;    ///< Used or withheld, and not yet folded.

    tokens available() const { return granted - reserved - spent; }
};

/// Rule: reserved + spent <= granted, for each budget. Thread-safe.
class allowance_book {
public:
    /// Sets `amount` aside for one request, or returns false and changes nothing.
    bool reserve(const std::string& budget, tokens amount, steady_time now);

    /// Ends a reservation. `used` goes to the spend, the rest becomes available again.
    /// Precondition: 0 <= used <= reserved.
    void settle(const std::string& budget, tokens reserved, tokens used);

    /// Notes tokens that the ledger set aside for this router.
    void add_grant(const std::string& budget, tokens amount);

    /// Takes up to `amount` available tokens out, to give them back. Returns how many.
    tokens take_back(const std::string& budget, tokens amount);

    /// Notes that the ledger counts `amount` as settled or withheld.
    void note_folded(const std::string& budget, tokens amount);

    allowance_state state(const std::string& budget) const;
    std::vector<std::string> budgets() const;

    /// Recent spend of this router on `budget`, in tokens a second.
    double spend_rate(const std::string& budget, steady_time now) const;

    /// Available tokens beyond `keep_for` at the recent rate, for a budget unused since `idle_since`.
    tokens idle_tokens(const std::string& budget, std::chrono::seconds keep_for, steady_time idle_since,
                       steady_time now) const;

private:
    struct entry {
        allowance_state state;
        double recent_tokens = 0; ///< Exponentially weighted sum of reservations.
        steady_time last_used{};
    };

    mutable std::mutex mutex_;
    std::map<std::string, entry> entries_;
};

} // namespace eelgrassgw

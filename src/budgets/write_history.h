#pragma once

/// Remembers what one router's writes to the ledger changed, for the case that a restored store forgets them.

#include "budgets/budget_ledger.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Holds the applied writes of one router. Writes older than `retention` are kept only as a sum. Not
/// thread-safe.
class write_history {
public:
    using clock = std::chrono::steady_clock;

    /// Time for which writes are kept one by one. A copy of the store is a few seconds old.
    static constexpr std::chrono::seconds retention{60};

    /// Adds a write that was applied and what it took (positive) or returned (negative), by customer.
    /// Precondition: `sequence` is greater than that of all earlier writes.
    void add(std::uint64_t sequence, std::map<std::string, tokens> changes, clock::time_point now);

    /// Sums the changes of all writes whose sequence number is greater than `sequence`. If some of them are
    /// no longer kept one by one, the sum also contains older writes, so that rather too many tokens count as
    /// taken.
    std::map<std::string, tokens> sum_after(std::uint64_t sequence) const;

private:
    struct applied_write {
        std::uint64_t sequence = 0;
        std::map<std::string, tokens> changes;
        clock::time_point applied_at{};
    };

    std::vector<applied_write> recent_; ///< In the order of their sequence numbers.
    applied_write older_;               ///< Sum of the writes before those, with the last sequence number.
};

} // namespace eelgrassgw

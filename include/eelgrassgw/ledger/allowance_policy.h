#pragma once

/// How many tokens a router sets aside when it asks the ledger.

#include "eelgrassgw/base/json.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>

namespace eelgrassgw {

/// What a router knows when it asks.
struct grant_situation {
    tokens needed = 0;                ///< Shortage of the request that waits; 0 for a refill ahead of need.
    tokens available = 0;             ///< What the router may spend already.
    tokens free = 0;                  ///< Tokens that nobody holds.
    tokens unspent = 0;               ///< Free tokens and all routers' allowances.
    std::size_t routers = 1;          ///< Live routers that may draw on the budget.
    double spend_rate_per_second = 0; ///< This router's recent spend on the budget, in tokens.
};

/// Decides the size of a grant: at least `needed` and at most `free`, or 0 where `needed` is over `free`.
template <class T>
concept allowance_policy = requires(const T policy, const grant_situation& situation) {
    { policy.grant_size(situation) } -> std::same_as<tokens>;
};

/// Sets aside what the recent spend would use in `horizon`, but at most `share` of the router's equal part of
/// what is unspent: enough to live through an outage, while some stays free for whoever needs it. What a
/// nearly empty budget has at other routers is reclaimed from them.
struct demand_policy {
    std::chrono::seconds horizon{3600}; ///< Outage of the object API that is to be survived.
    double share = 0.8;
    tokens smallest_grant = 2000; ///< Saves calls for a budget that was not used lately.

    tokens grant_size(const grant_situation& situation) const {
        if (situation.needed > situation.free) {
            return 0;
        }
        const auto routers = static_cast<double>(std::max<std::size_t>(situation.routers, 1));
        const auto part = static_cast<tokens>(share * static_cast<double>(situation.unspent) / routers);
        const auto demand =
            static_cast<tokens>(situation.spend_rate_per_second * static_cast<double>(horizon.count()));
        const tokens target = std::min(std::max(demand, smallest_grant), part);
        const tokens wanted = std::max(situation.needed, target - situation.available);
        return std::clamp<tokens>(wanted, 0, situation.free);
    }
};

/// Always the same amount. A baseline.
struct fixed_chunk_policy {
    tokens chunk = 20000;

    tokens grant_size(const grant_situation& situation) const {
        if (situation.needed == 0 || situation.needed > situation.free) {
            return 0; // Baselines do not refill ahead of need.
        }
        return std::min(std::max(chunk, situation.needed), situation.free);
    }
};

/// Exactly what the waiting request needs: one update of the ledger for each request. A baseline.
struct per_request_policy {
    tokens grant_size(const grant_situation& situation) const {
        return situation.needed > situation.free ? 0 : situation.needed;
    }
};

/// A router's equal part of what is free, at its first request. A baseline.
struct equal_split_policy {
    tokens grant_size(const grant_situation& situation) const {
        if (situation.needed == 0 || situation.needed > situation.free) {
            return 0; // Baselines do not refill ahead of need.
        }
        const auto routers = static_cast<tokens>(std::max<std::size_t>(situation.routers, 1));
        return std::max(situation.needed, situation.free / routers);
    }
};

} // namespace eelgrassgw

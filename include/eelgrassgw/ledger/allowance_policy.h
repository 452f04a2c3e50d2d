#pragma once

/// Policies that decide how many tokens a router requests from the ledger at a time.

#include "eelgrassgw/base/json.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>

namespace eelgrassgw {

/// The facts that a router knows when it requests a grant.
struct grant_situation {
    tokens needed = 0;            ///< Tokens that the waiting request lacks, or 0 for a refill ahead of need.
    tokens available = 0;         ///< Tokens that the router may already spend.
    tokens free = 0;              ///< Tokens of the budget that no router holds.
    tokens unspent = 0;           ///< Free tokens plus the allowances of all routers.
    std::size_t router_count = 1; ///< Number of live routers that may use the budget.
    double spend_rate_per_second = 0; ///< This router's recent spend on the budget, in tokens per second.
};

/// Decides the size of a grant: from `needed` to `free` tokens, or 0 if `needed` exceeds `free`.
template <class T>
concept allowance_policy = requires(const T policy, const grant_situation& situation) {
    { policy.grant_size(situation) } -> std::same_as<tokens>;
};

/// Requests as many tokens as the recent spend rate would use in `horizon`, but at most `max_share` of the
/// router's equal part of the unspent tokens. This lets a router serve through an outage, while some tokens
/// stay free for other routers. If a budget is nearly empty, a router reclaims tokens from other routers.
struct demand_policy {
    std::chrono::seconds horizon{3600}; ///< Length of an object API outage that an allowance should cover.
    double max_share = 0.8;             ///< Upper bound, as a fraction of the router's equal part.
    tokens smallest_grant = 2000; ///< Minimum target, which saves ledger updates for a rarely used budget.

    tokens grant_size(const grant_situation& situation) const {
        if (situation.needed > situation.free) {
            return 0;
        }
        const auto routers = static_cast<double>(std::max<std::size_t>(situation.router_count, 1));
        const auto max_target =
            static_cast<tokens>(max_share * static_cast<double>(situation.unspent) / routers);
        const auto demand =
            static_cast<tokens>(situation.spend_rate_per_second * static_cast<double>(horizon.count()));
        const tokens target = std::min(std::max(demand, smallest_grant), max_target);
        const tokens wanted = std::max(situation.needed, target - situation.available);
        return std::clamp<tokens>(wanted, 0, situation.free);
    }
};

/// Requests the same amount each time. Serves as a baseline for benchmarks.
struct fixed_chunk_policy {
    tokens chunk = 20000;

    tokens grant_size(const grant_situation& situation) const {
        if (situation.needed == 0 || situation.needed > situation.free) {
            return 0; // The baseline policies do not refill ahead of need.
        }
        return std::min(std::max(chunk, situation.needed), situation.free);
    }
};

/// Requests exactly what the waiting request needs, which costs one ledger update per request. Serves as a
/// baseline for benchmarks.
struct per_request_policy {
    tokens grant_size(const grant_situation& situation) const {
        return situation.needed > situation.free ? 0 : situation.needed;
    }
};

/// Requests the router's equal part of the free tokens at once. Serves as a baseline for benchmarks.
struct equal_split_policy {
    tokens grant_size(const grant_situation& situation) const {
        if (situation.needed == 0 || situation.needed > situation.free) {
            return 0; // The baseline policies do not refill ahead of need.
        }
        const auto routers = static_cast<tokens>(std::max<std::size_t>(situation.router_count, 1));
        return std::max(situation.needed, situation.free / routers);
    }
};

} // namespace eelgrassgw

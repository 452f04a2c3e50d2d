#pragma once

/// Which backend server a new request goes to.

#include "eelgrassgw/base/hash.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

/// One backend server as a router sees it at the moment of choice.
struct routing_candidate {
    std::string name;
    int own_in_flight = 0; ///< This router's own requests there; always up to date.
    int reported_load = 0; ///< What its agent last said; old by nature.

    int estimated_load() const { return own_in_flight + reported_load; }
};

/// What is known of the request.
struct routing_request {
    std::string request_id;
    std::uint64_t prefix_hash = 0; ///< Of the prompt's beginning, for cache affinity.
};

/// Picks the index of a candidate. Precondition: `candidates` is not empty. Thread-safe.
template <class T>
concept routing_policy = requires(T policy, const std::vector<routing_candidate>& candidates,
                                  const routing_request& request) {
    { policy.choose(candidates, request) } -> std::same_as<std::size_t>;
};

/// A score that ranks `name` for `hash`, the same on every router (rendezvous hashing).
inline std::uint64_t rendezvous_score(const std::string& name, std::uint64_t hash) {
    return stable_hash(name + "#" + std::to_string(hash));
}

/// The less loaded of two candidates drawn at random.
struct power_of_two_policy {
    std::size_t choose(const std::vector<routing_candidate>& candidates, const routing_request&) const {
        const std::size_t a = random_below(candidates.size());
        const std::size_t b = random_below(candidates.size());
        return candidates[a].estimated_load() <= candidates[b].estimated_load() ? a : b;
    }
};

/// The candidate that the prompt's beginning hashes to, unless its load is over the bound: then the less
/// loaded of two.
struct bounded_affinity_policy {
    double bound = 1.25; ///< Times the mean load.
    int slack = 2;       ///< Requests that are always allowed beyond it.

    std::size_t choose(const std::vector<routing_candidate>& candidates,
                       const routing_request& request) const {
        double total = 0;
        std::size_t best = 0;
        std::uint64_t best_score = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            total += candidates[i].estimated_load();
            const std::uint64_t score = rendezvous_score(candidates[i].name, request.prefix_hash);
            if (i == 0 || score > best_score) {
                best = i;
                best_score = score;
            }
        }
        const double limit = bound * total / static_cast<double>(candidates.size()) + slack;
        if (candidates[best].estimated_load() <= limit) {
            return best;
        }
        return power_of_two_policy{}.choose(candidates, request);
    }
};

/// The candidate whose report was lowest. A baseline.
struct least_reported_policy {
    std::size_t choose(const std::vector<routing_candidate>& candidates, const routing_request&) const {
        const auto it = std::min_element(candidates.begin(), candidates.end(),
                                         [](const routing_candidate& a, const routing_candidate& b) {
                                             return a.reported_load < b.reported_load;
                                         });
        return static_cast<std::size_t>(it - candidates.begin());
    }
};

/// Each candidate in turn. A baseline.
struct round_robin_policy {
    std::uint64_t next = 0;

    std::size_t choose(const std::vector<routing_candidate>& candidates, const routing_request&) {
        return next++ % candidates.size();
    }
};

} // namespace eelgrassgw

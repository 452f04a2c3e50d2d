#pragma once

/// Policies that choose the backend server for a new request.

#include "eelgrassgw/base/hash.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A backend server that a router can choose, with its current load.
struct routing_candidate {
    std::string name;
    int own_in_flight = 0; ///< Number of this router's requests at the server; always up to date.
    int reported_load = 0; ///< Number of requests that its agent last reported; may be out of date.

    int estimated_load() const { return own_in_flight + reported_load; }
};

/// The properties of a request that affect its routing.
struct routing_request {
    std::string request_id;
    std::uint64_t prefix_hash = 0; ///< Hash of the beginning of the prompt, for cache affinity.
};

/// A policy that returns the index of the chosen candidate. `candidates` must not be empty. Policies are
/// thread-safe.
template <class T>
concept routing_policy = requires(T policy, const std::vector<routing_candidate>& candidates,
                                  const routing_request& request) {
    { policy.choose(candidates, request) } -> std::same_as<std::size_t>;
};

/// Returns the rendezvous-hashing score of `name` for `hash`. It is the same on every router.
inline std::uint64_t rendezvous_score(const std::string& name, std::uint64_t hash) {
    return stable_hash(name + "#" + std::to_string(hash));
}

/// Chooses the less loaded of two random candidates.
struct power_of_two_policy {
    std::size_t choose(const std::vector<routing_candidate>& candidates, const routing_request&) const {
        const std::size_t a = random_below(candidates.size());
        const std::size_t b = random_below(candidates.size());
        return candidates[a].estimated_load() <= candidates[b].estimated_load() ? a : b;
    }
};

/// Chooses the candidate that the beginning of the prompt hashes to. If the load of that candidate exceeds
/// the limit, chooses the less loaded of two random candidates instead.
struct bounded_affinity_policy {
    double max_load_factor = 1.25; ///< Multiple of the mean load that a candidate may have.
    int extra_requests = 2;        ///< Number of requests that a candidate may have beyond that multiple.

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
        const double limit =
            max_load_factor * total / static_cast<double>(candidates.size()) + extra_requests;
        if (candidates[best].estimated_load() <= limit) {
            return best;
        }
        return power_of_two_policy{}.choose(candidates, request);
    }
};

/// Chooses the candidate with the lowest reported load. Benchmarks use it as a baseline.
struct least_reported_policy {
    std::size_t choose(const std::vector<routing_candidate>& candidates, const routing_request&) const {
        const auto it = std::min_element(candidates.begin(), candidates.end(),
                                         [](const routing_candidate& a, const routing_candidate& b) {
                                             return a.reported_load < b.reported_load;
                                         });
        return static_cast<std::size_t>(it - candidates.begin());
    }
};

/// Chooses the candidates in turn. Benchmarks use it as a baseline.
struct round_robin_policy {
    std::uint64_t next_index = 0;

    std::size_t choose(const std::vector<routing_candidate>& candidates, const routing_request&) {
        return next_index++ % candidates.size();
    }
};

} // namespace eelgrassgw

#include "placing/placement.h"

#include "eelgrassgw/base/hash.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

using candidates_t = std::vector<std::shared_ptr<tracked_backend>>;

constexpr double allowed_over_mean = 1.5;   // Factor of the mean load.
constexpr double always_allowed = 4;        // Requests; below this, unevenness costs nothing.
constexpr double tokens_per_request = 8000; // Prompt tokens that weigh as much as one running request.

double load_of(const tracked_backend& server) {
    return server.running + static_cast<double>(server.prompt_tokens) / tokens_per_request;
}

bool is_excluded(const tracked_backend& server, const placement_request& request) {
    return std::find(request.excluded.begin(), request.excluded.end(), server.server.id) !=
           request.excluded.end();
}

candidates_t without_excluded(const candidates_t& candidates, const placement_request& request) {
    candidates_t left;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(left),
                 [&](const auto& each) { return !is_excluded(*each, request); });
    return left;
}

/// Those that are not avoided now, or all where each one is.
candidates_t preferred(const candidates_t& candidates, tracked_backend::clock::time_point now) {
    candidates_t sound;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(sound),
                 [&](const auto& each) { return each->avoid_until <= now; });
    return sound.empty() ? candidates : sound;
}

std::shared_ptr<tracked_backend> least_loaded(const candidates_t& candidates, std::uint64_t random) {
    const std::size_t start = random % candidates.size();
    std::shared_ptr<tracked_backend> best = candidates[start];
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const auto& each = candidates[(start + i) % candidates.size()];
        if (load_of(*each) < load_of(*best)) {
            best = each;
        }
    }
    return best;
}

std::shared_ptr<tracked_backend> first_below_bound(const candidates_t& candidates, const std::string& part) {
    double total = 0;
    for (const auto& each : candidates) {
        total += load_of(*each);
    }
    const double mean = total / static_cast<double>(candidates.size());
    const double bound = std::max(always_allowed, allowed_over_mean * mean);
    std::shared_ptr<tracked_backend> best;
    std::uint64_t best_rank = 0;
    for (const auto& each : candidates) {
        const std::uint64_t rank = stable_hash(part + "\n" + each->server.id);
        const bool fits = load_of(*each) <= bound;
        if (fits && (best == nullptr || rank > best_rank)) {
            best = each;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace

std::shared_ptr<tracked_backend> choose_backend_server(const candidates_t& candidates,
                                                       const placement_request& request,
                                                       tracked_backend::clock::time_point now) {
    const candidates_t left = without_excluded(candidates, request);
    if (left.empty()) {
        return nullptr;
    }
    const candidates_t sound = preferred(left, now);
    if (request.shared_prompt_part.empty()) {
        return least_loaded(sound, request.random);
    }
    return first_below_bound(sound, request.shared_prompt_part);
}

} // namespace eelgrassgw

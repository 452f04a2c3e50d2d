#include "placing/placement.h"

#include "eelgrassgw/base/hash.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

using candidates_t = std::vector<std::shared_ptr<tracked_backend>>;

constexpr double allowed_over_mean = 1.5;      // Factor of the mean load.
constexpr double always_allowed = 8;           // Requests; below this, unevenness costs nothing.
constexpr std::int64_t bearable_unread = 6000; // Prompt tokens to wait behind, beside those by shared tokens.
constexpr std::int64_t unread_per_shared = 4;  // Tokens to wait behind for each shared token not read again.

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
        if (each->running < best->running) {
            best = each;
        }
    }
    return best;
}

double request_bound(const candidates_t& candidates) {
    double total = 0;
    for (const auto& each : candidates) {
        total += each->running;
    }
    return std::max(always_allowed, allowed_over_mean * total / static_cast<double>(candidates.size()));
}

/// The first of the rendezvous order that is within both bounds; where none is, the one with the least to
/// read.
std::shared_ptr<tracked_backend> first_within_bounds(const candidates_t& candidates,
                                                     const placement_request& request,
                                                     tracked_backend::clock::time_point now) {
    const double most_running = request_bound(candidates);
    const std::int64_t most_unread = bearable_unread + unread_per_shared * request.shared_tokens;
    std::shared_ptr<tracked_backend> best;
    std::uint64_t best_rank = 0;
    std::shared_ptr<tracked_backend> least;
    std::int64_t least_unread = 0;
    for (const auto& each : candidates) {
        const std::int64_t unread = each->known_unread_tokens(now);
        if (least == nullptr || unread < least_unread) {
            least = each;
            least_unread = unread;
        }
        const std::uint64_t rank = stable_hash(request.shared_prompt_part + "\n" + each->server.id);
        const bool fits = each->running <= most_running && unread <= most_unread;
        if (fits && (best == nullptr || rank > best_rank)) {
            best = each;
            best_rank = rank;
        }
    }
    return best == nullptr ? least : best;
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
    return first_within_bounds(sound, request, now);
}

} // namespace eelgrassgw

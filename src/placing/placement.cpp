#include "placing/placement.h"

#include "eelgrassgw/base/hash.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

using backend_list = std::vector<std::shared_ptr<tracked_backend>>;

// A server is skipped if it runs more than this multiple of the mean number of requests.
constexpr double max_load_over_mean = 1.5;

// Number of requests that every server may run, since below it an uneven load causes no delay.
constexpr double always_allowed_requests = 8;

// Unread prompt tokens that any request accepts before its own prompt is read.
constexpr std::int64_t base_unread_tokens = 6000;

// Further unread tokens that a request accepts for each shared token that need not be read again.
constexpr std::int64_t unread_tokens_per_shared_token = 4;

// Prompt tokens that a server reads in a millisecond.
constexpr std::int64_t read_tokens_per_ms = 60;

bool is_excluded(const tracked_backend& server, const placement_request& request) {
    return std::find(request.excluded.begin(), request.excluded.end(), server.server.id) !=
           request.excluded.end();
}

/// Returns the candidates that were not tried yet, accept requests at `now` and have room within their
/// limits.
backend_list without_excluded(const backend_list& candidates, const placement_request& request,
                              tracked_backend::clock::time_point now) {
    backend_list remaining;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(remaining), [&](const auto& each) {
        return !is_excluded(*each, request) && each->accepts_requests(now) && each->limit.has_room(now);
    });
    return remaining;
}

/// Returns the candidates that need not be avoided at `now`, or all candidates if there are none.
backend_list without_avoided(const backend_list& candidates, tracked_backend::clock::time_point now) {
    backend_list usable;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(usable),
                 [&](const auto& each) { return each->avoid_until <= now && !each->is_silent(now); });
    return usable.empty() ? candidates : usable;
}

/// Returns the candidates that are within the request's bound on unread tokens.
// TODO(load): the bound of src/load/, which knows each server's speed, replaces this one.
backend_list without_full(const backend_list& candidates, const placement_request& request,
                          tracked_backend::clock::time_point now) {
    if (request.max_unread_tokens == 0) {
        return candidates;
    }
    backend_list with_room;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(with_room), [&](const auto& each) {
        const std::int64_t unread = each->known_unread_tokens(now);
        return unread == 0 || unread + request.unread_tokens <= request.max_unread_tokens;
    });
    return with_room;
}

std::shared_ptr<tracked_backend> least_loaded(const backend_list& candidates, std::uint64_t random) {
    const std::size_t start = random % candidates.size();
    std::shared_ptr<tracked_backend> best = candidates[start];
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const auto& each = candidates[(start + i) % candidates.size()];
        if (each->running_requests < best->running_requests) {
            best = each;
        }
    }
    return best;
}

double max_running_requests(const backend_list& candidates) {
    double total = 0;
    for (const auto& each : candidates) {
        total += each->running_requests;
    }
    return std::max(always_allowed_requests,
                    max_load_over_mean * total / static_cast<double>(candidates.size()));
}

/// Returns the first candidate in rendezvous order that is within both bounds, or the one with the fewest
/// unread tokens if there is none.
std::shared_ptr<tracked_backend> first_within_bounds(const backend_list& candidates,
                                                     const placement_request& request,
                                                     tracked_backend::clock::time_point now) {
    const double max_running = max_running_requests(candidates);
    const std::int64_t max_unread_tokens =
        base_unread_tokens + unread_tokens_per_shared_token * request.shared_tokens;
    std::shared_ptr<tracked_backend> best;
    std::uint64_t best_rank = 0;
    std::shared_ptr<tracked_backend> least_unread_server;
    std::int64_t min_unread_tokens = 0;
    for (const auto& each : candidates) {
        const std::int64_t unread_tokens = each->known_unread_tokens(now);
        if (least_unread_server == nullptr || unread_tokens < min_unread_tokens) {
            least_unread_server = each;
            min_unread_tokens = unread_tokens;
        }
        const std::uint64_t rank = stable_hash(request.shared_prompt_part + "\n" + each->server.id);
        const bool fits = each->running_requests <= max_running && unread_tokens <= max_unread_tokens;
        if (fits && (best == nullptr || rank > best_rank)) {
            best = each;
            best_rank = rank;
        }
    }
    return best == nullptr ? least_unread_server : best;
}

} // namespace

std::int64_t max_unread_tokens_within(std::chrono::milliseconds max_event_gap) {
    return read_tokens_per_ms * max_event_gap.count() / 2;
}

placement_outcome choose_backend_server(const backend_list& candidates, const placement_request& request,
                                        tracked_backend::clock::time_point now) {
    const backend_list remaining = without_excluded(candidates, request, now);
    if (remaining.empty()) {
        return {};
    }
    const backend_list usable = without_full(without_avoided(remaining, now), request, now);
    if (usable.empty()) {
        return {nullptr, true};
    }
    if (request.shared_prompt_part.empty()) {
        return {least_loaded(usable, request.random), false};
    }
    return {first_within_bounds(usable, request, now), false};
}

} // namespace eelgrassgw

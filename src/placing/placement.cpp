#include "placing/placement.h"

#include "eelgrassgw/base/hash.h"

#include <algorithm>
#include <array>

namespace eelgrassgw {

namespace {

using backend_list = std::vector<std::shared_ptr<tracked_backend>>;
using time_point = tracked_backend::clock::time_point;

// A server is skipped if it runs more than this multiple of the mean number of requests for its speed.
constexpr double max_load_over_mean = 1.5;

// Number of requests that every server may run, since below it an uneven load causes no delay.
constexpr double always_allowed_requests = 8;

// Wait beyond the shortest one that any request accepts to stay at the server of its shared part, in prompt
// tokens that a server of usual speed reads in that time.
constexpr double base_tolerated_tokens = 3000;

// Further tokens of wait that a request accepts for each shared token that need not be read again: reading it
// elsewhere takes its time from all requests there and its room from other parts.
constexpr double tolerated_tokens_per_shared_token = 3;

// Cost of a running request. It takes 0.03 to 0.08 ms of each step, and a first event takes some ten steps;
// as much again is for its prompt, if other routers send such requests too.
constexpr double ms_per_running_request = 1.5;

// Events whose time counts as wait: the first one takes the usual time between two, and a server that is slow
// in that delays all others as well.
constexpr double events_of_wait = 3;

// Cost of each request beyond the slots of a server, which waits until another one has ended.
constexpr double ms_per_request_without_slot = 20;

// Servers that differ by less than the reading of so many tokens are equally good. A random choice among them
// keeps routers with the same view from choosing the same server.
constexpr double random_tokens = 500;

// Bounds of a server's speed in proportion to the mean, for the number of requests that it should run.
constexpr double min_relative_time = 0.4;
constexpr double max_relative_time = 3;

// Shortest step of a server.
constexpr double min_ms_per_step = 3;

// Least bound in prompt tokens, which is the smallest chunk that a server reads in one step. A server whose
// usual pause between events exceeds the allowed one would otherwise take no prompts.
constexpr double min_bound_tokens = 2048;

// Part of the bound that is left for what other routers send before this router learns of it.
constexpr double share_of_other_routers = 0.25;

// Part of the mean bound from which a prompt is long.
constexpr double long_prompt_share = 0.25;

// Room is short while the prompts that wait take up this part of all servers' bounds.
constexpr double short_room_share = 0.25;

bool is_excluded(const tracked_backend& server, const placement_request& request) {
    return std::find(request.excluded.begin(), request.excluded.end(), server.server.id) !=
           request.excluded.end();
}

/// Returns the candidates that were not tried yet, accept requests at `now` and have room within their
/// limits.
backend_list without_excluded(const backend_list& candidates, const placement_request& request,
                              time_point now) {
    backend_list remaining;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(remaining), [&](const auto& each) {
        return !is_excluded(*each, request) && each->accepts_requests(now) && each->limit.has_room(now);
    });
    return remaining;
}

/// Returns the candidates that need not be avoided at `now`, or all candidates if there are none.
backend_list without_avoided(const backend_list& candidates, time_point now) {
    backend_list usable;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(usable),
                 [&](const auto& each) { return each->avoid_until <= now && !each->is_silent(now); });
    return usable.empty() ? candidates : usable;
}

service_speed mean_speed(const backend_list& candidates, time_point now) {
    service_speed_sums sums;
    for (const auto& each : candidates) {
        each->speed.add_to(sums, now);
    }
    return sums.means();
}

/// Returns a number in [0, 1) that differs between servers and between requests.
double random_fraction(const tracked_backend& server, std::uint64_t random) {
    constexpr double values = 1U << 20U;
    return double(stable_hash(server.server.id + std::to_string(random)) % (1U << 20U)) / values;
}

/// Returns the server that runs the fewest requests for its speed. Servers that run equally many get requests
/// in proportion to their speed.
placement_outcome least_loaded(const backend_list& candidates, std::uint64_t random, time_point now) {
    const service_speed service = mean_speed(candidates, now);
    placement_outcome best;
    double best_load = 0;
    for (const auto& each : candidates) {
        const double relative_time = std::clamp(each->speed.answer_ms(service, now) / service.answer_ms,
                                                min_relative_time, max_relative_time);
        const double load = (each->running_requests + random_fraction(*each, random)) * relative_time;
        if (best.server == nullptr || load < best_load) {
            best.server = each;
            best_load = load;
        }
    }
    return best;
}

/// What a request meets at a server.
struct estimate {
    std::shared_ptr<tracked_backend> server;
    std::int64_t tokens_to_read = 0;
    double wait_ms = 0;             ///< Expected time to the first event.
    double load = 0;                ///< Running requests in proportion to the speed.
    std::int64_t unread_tokens = 0; ///< Tokens that the server has to read before.
    double max_unread_tokens = 0;   ///< Bound of these tokens and those of the request; unused without one.
};

/// Estimates the wait at one server after another.
class wait_estimator {
public:
    wait_estimator(const backend_list& candidates, const placement_request& request, time_point now)
        : request_(request), service_(mean_speed(candidates, now)), now_(now) {}

    const service_speed& service() const { return service_; }

    /// Returns the estimate for a server that has read the shared part if `is_first` is true, or if requests
    /// of this process were read there.
    estimate at(const std::shared_ptr<tracked_backend>& server, bool is_first) const {
        const bool has_read = is_first || server->read_parts.contains(request_.shared_prompt_part, now_);
        const double relative_time =
            std::clamp(server->speed.event_gap_ms(service_, now_) / service_.event_gap_ms, min_relative_time,
                       max_relative_time);
        estimate made{server, request_.unshared_tokens + (has_read ? 0 : request_.shared_tokens)};
        made.load = server->running_requests * relative_time;
        made.unread_tokens = server->known_unread_tokens(now_);
        const double ms_per_token = server->speed.ms_per_token(service_, now_);
        made.wait_ms = double(made.unread_tokens + made.tokens_to_read) * ms_per_token +
                       made.load * ms_per_running_request +
                       events_of_wait * server->speed.recent_gap_ms(service_, now_) +
                       server->speed.hidden_wait_ms(now_);
        made.max_unread_tokens = bound_tokens(*server, ms_per_token);
        const int without_slot = server->running_requests + 1 - server->server.slots;
        if (server->server.slots > 0 && without_slot > 0) {
            made.wait_ms += without_slot * ms_per_request_without_slot * relative_time;
        }
        return made;
    }

private:
    /// Returns the prompt tokens that the server reads in the longest pause between two events, less the
    /// steps that make the event's tokens. Those steps are what a usual event takes.
    double bound_tokens(const tracked_backend& server, double ms_per_token) const {
        const double steps_ms = std::max(server.speed.event_gap_ms(service_, now_),
                                         min_ms_per_step * request_.bound.max_tokens_per_event);
        const double free_ms = double(request_.bound.max_event_gap.count()) - steps_ms;
        return std::max(min_bound_tokens, free_ms / ms_per_token * (1 - share_of_other_routers));
    }

    const placement_request& request_;
    service_speed service_;
    time_point now_;
};

/// Returns the estimates for all candidates, in the order of the shared part if there is one.
std::vector<estimate> estimate_all(const backend_list& candidates, const placement_request& request,
                                   const wait_estimator& estimator) {
    const bool has_order = !request.shared_prompt_part.empty();
    std::vector<std::pair<std::uint64_t, std::shared_ptr<tracked_backend>>> ordered;
    for (const auto& each : candidates) {
        ordered.emplace_back(has_order ? stable_hash(request.shared_prompt_part + "\n" + each->server.id) : 0,
                             each);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<estimate> estimates;
    for (const auto& [rank, server] : ordered) {
        estimate each = estimator.at(server, has_order && estimates.empty());
        if (!has_order) {
            each.wait_ms +=
                random_fraction(*server, request.random) * random_tokens * estimator.service().ms_per_token;
        }
        estimates.push_back(std::move(each));
    }
    return estimates;
}

/// Returns whether the server can take the request within its bound, its slots and its memory. A prompt that
/// exceeds the bounds of all servers by itself fits where no other one waits.
bool fits(const estimate& at, const placement_request& request, bool exceeds_all_bounds) {
    const tracked_backend& server = *at.server;
    const bool has_slot = server.server.slots <= 0 || server.running_requests < server.server.slots;
    const bool has_memory = request.bound.kv_capacity <= 0 || server.held_tokens == 0 ||
                            server.held_tokens + request.held_tokens <= request.bound.kv_capacity;
    const bool has_time = double(at.unread_tokens + at.tokens_to_read) <= at.max_unread_tokens ||
                          (exceeds_all_bounds && at.unread_tokens == 0);
    return has_slot && has_memory && has_time;
}

/// Returns whether the request's prompt is so long that it should be kept apart from short ones now.
bool is_kept_apart(const std::vector<estimate>& estimates, const placement_request& request) {
    double unread = 0;
    double bounds = 0;
    for (const estimate& each : estimates) {
        unread += double(each.unread_tokens);
        bounds += each.max_unread_tokens;
    }
    const double mean_bound = bounds / double(estimates.size());
    return double(request.unshared_tokens) >= long_prompt_share * mean_bound &&
           unread >= short_room_share * bounds;
}

/// Returns the first server in the order in which all routers fill servers with long prompts.
/// Precondition: `fitting` is not empty.
placement_outcome first_for_long_prompts(const std::vector<estimate>& fitting) {
    const auto rank = [](const estimate& each) {
        return stable_hash("long prompts\n" + each.server->server.id);
    };
    const auto first = std::max_element(fitting.begin(), fitting.end(),
                                        [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return {first->server, false, placement_reason::long_prompt, first->tokens_to_read};
}

double max_load(const std::vector<estimate>& estimates) {
    double total = 0;
    for (const estimate& each : estimates) {
        total += each.load;
    }
    return std::max(always_allowed_requests,
                    max_load_over_mean * total / static_cast<double>(estimates.size()));
}

/// Returns the first server in the order of the shared part at which the request waits not much longer than
/// at the best one; without a shared part, the one with the shortest wait.
placement_outcome shortest_wait(const backend_list& candidates, const placement_request& request,
                                time_point now) {
    const wait_estimator estimator(candidates, request, now);
    std::vector<estimate> estimates = estimate_all(candidates, request, estimator);
    const auto first_in_order = estimates.front().server;
    if (request.bound.max_event_gap > std::chrono::milliseconds(0)) {
        const bool kept_apart = is_kept_apart(estimates, request);
        const bool exceeds_all = std::all_of(estimates.begin(), estimates.end(), [](const estimate& each) {
            return double(each.tokens_to_read) > each.max_unread_tokens;
        });
        std::erase_if(estimates, [&](const estimate& each) { return !fits(each, request, exceeds_all); });
        if (estimates.empty()) {
            return {nullptr, true};
        }
        if (kept_apart) {
            return first_for_long_prompts(estimates);
        }
    }
    const auto best = std::min_element(estimates.begin(), estimates.end(),
                                       [](const auto& a, const auto& b) { return a.wait_ms < b.wait_ms; });
    auto chosen = best;
    if (!request.shared_prompt_part.empty()) {
        const double tolerated_tokens =
            base_tolerated_tokens + tolerated_tokens_per_shared_token * double(request.shared_tokens);
        const double max_wait = best->wait_ms + tolerated_tokens * estimator.service().ms_per_token;
        const double most_load = max_load(estimates);
        const auto fitting = std::find_if(estimates.begin(), estimates.end(), [&](const estimate& each) {
            return each.wait_ms <= max_wait && each.load <= most_load;
        });
        chosen = fitting == estimates.end() ? best : fitting;
    }
    const bool is_first = !request.shared_prompt_part.empty() && chosen->server == first_in_order;
    return {chosen->server, false, is_first ? placement_reason::affinity : placement_reason::shortest_wait,
            chosen->tokens_to_read};
}

// Unread prompt tokens that any request accepts before its own prompt is read, when servers are chosen by
// count.
constexpr std::int64_t by_count_base_tokens = 6000;

// Further unread tokens that a request accepts for each shared token that need not be read again.
constexpr std::int64_t by_count_tokens_per_shared_token = 4;

std::shared_ptr<tracked_backend> fewest_requests(const backend_list& candidates, std::uint64_t random) {
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
                                                     const placement_request& request, time_point now) {
    const double max_running = max_running_requests(candidates);
    const std::int64_t max_unread_tokens =
        by_count_base_tokens + by_count_tokens_per_shared_token * request.shared_tokens;
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

/// Chooses by the requests of this process and the unread prompt tokens, whatever the speed of the servers.
placement_outcome choose_by_count(const backend_list& usable, const placement_request& request,
                                  time_point now) {
    placement_outcome chosen;
    chosen.tokens_to_read = request.unshared_tokens;
    if (request.shared_prompt_part.empty()) {
        chosen.server = fewest_requests(usable, request.random);
        return chosen;
    }
    chosen.server = first_within_bounds(usable, request, now);
    chosen.reason = placement_reason::affinity;
    return chosen;
}

} // namespace

const char* name_of(placement_reason reason) {
    constexpr std::array names = {"affinity", "shortest_wait", "long_prompt", "least_loaded"};
    return names.at(static_cast<std::size_t>(reason));
}

placement_outcome choose_backend_server(const backend_list& candidates, const placement_request& request,
                                        time_point now) {
    const backend_list remaining = without_excluded(candidates, request, now);
    if (remaining.empty()) {
        return {};
    }
    const backend_list usable = without_avoided(remaining, now);
    if (!request.by_wait) {
        return choose_by_count(usable, request, now);
    }
    if (request.shared_prompt_part.empty() && !request.carries_prompt) {
        return least_loaded(usable, request.random, now);
    }
    return shortest_wait(usable, request, now);
}

} // namespace eelgrassgw

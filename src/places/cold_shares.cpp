#include "places/cold_shares.h"

#include "eelgrassgw/base/hash.h"

#include <algorithm>
#include <utility>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds server_retention{60};

/// Returns the number of shares of a server that takes `rate` requests a second.
std::size_t share_count_of(double rate) {
    constexpr double max_shares = 1000;
    return std::size_t(std::clamp(rate, 1.0, max_shares));
}

/// Returns the time in which a share serves one request. A rate below 1 makes it longer.
std::chrono::steady_clock::duration share_window(double rate) {
    const double seconds = 1 / std::clamp(rate, 0.01, 1.0);
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(seconds));
}

/// Mixes the bits of a number, so that ranks of the same router at different shares are independent.
std::uint64_t mix(std::uint64_t n) {
    n = (n ^ (n >> 33U)) * 0xff51afd7ed558ccdULL;
    n = (n ^ (n >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return n ^ (n >> 33U);
}

} // namespace

void cold_shares::set_membership(const fleet_membership& membership, clock::time_point now) {
    if (!membership.is_complete || membership.read_at < membership_.read_at) {
        return;
    }
    const bool is_restored = membership_.is_complete && membership.era != membership_.era;
    if (is_restored) {
        resting_until_ = now + restored_rest_time;
    }
    // While no reading came, another router may have joined, used shares of this one and ended. It rested
    // before that, so a shorter pause is harmless.
    if (membership.read_at - membership_.read_at > reading_lifetime + window) {
        resting_until_ = std::max(resting_until_, now + window + margin);
    }
    // Others may have dropped this router meanwhile and use its shares until they list it again.
    const bool was_dropped = membership.own_write_at - membership_.own_write_at > entry_lifetime;
    if (is_restored || was_dropped || membership.routers != membership_.routers) {
        ++division_;
        divided_at_ = now;
        router_hashes_.clear();
        for (const std::string& router : membership.routers) {
            router_hashes_.push_back(stable_hash(router));
        }
    }
    membership_ = membership;
    if (was_dropped) {
        for (auto& [server, state] : by_server_) {
            std::fill(state.owned_since.begin(), state.owned_since.end(), std::nullopt);
        }
    }
}

/// Returns whether what this router knows of the fleet is recent enough to use its shares.
bool cold_shares::may_use_shares(clock::time_point now) const {
    return membership_.is_complete && now >= resting_until_ && now - membership_.read_at < reading_lifetime &&
           now - membership_.own_write_at < entry_lifetime &&
           std::binary_search(membership_.routers.begin(), membership_.routers.end(), membership_.own);
}

cold_shares::server_state& cold_shares::state_of(const std::string& server, double rate,
                                                 clock::time_point now) {
    server_state& state = by_server_[server];
    state.last_used_at = now;
    const std::size_t share_count = share_count_of(rate);
    if (state.division != division_ || state.owned_since.size() != share_count) {
        divide(state, server, share_count);
    }
    while (!state.sends.empty() && now - state.sends.front() > share_window(rate)) {
        state.sends.pop_front();
    }
    return state;
}

/// Finds the shares that this router owns. A share counts as owned since the last change of the routers,
/// unless it is known to have been owned before.
void cold_shares::divide(server_state& state, const std::string& server, std::size_t share_count) {
    const bool was_current = state.division + 1 == division_ || state.division == division_;
    const std::uint64_t server_hash = stable_hash(server);
    std::vector<std::optional<clock::time_point>> owned(share_count);
    for (std::size_t share = 0; share < share_count && !membership_.routers.empty(); ++share) {
        const std::uint64_t share_hash = mix(server_hash + share);
        std::size_t owner = 0;
        std::uint64_t best_rank = 0;
        for (std::size_t i = 0; i < router_hashes_.size(); ++i) {
            const std::uint64_t rank = mix(router_hashes_[i] ^ share_hash);
            if (rank > best_rank) {
                best_rank = rank;
                owner = i;
            }
        }
        if (membership_.routers[owner] == membership_.own) {
            const bool is_known = was_current && share < state.owned_since.size();
            owned[share] = is_known && state.owned_since[share] ? *state.owned_since[share] : divided_at_;
        }
    }
    state.owned_since = std::move(owned);
    state.division = division_;
}

int cold_shares::usable_shares(const server_state& state, clock::time_point now) const {
    if (!may_use_shares(now)) {
        return 0;
    }
    return int(std::count_if(state.owned_since.begin(), state.owned_since.end(),
                             [&](const auto& since) { return since && now - *since >= rest_time; }));
}

/// Returns whether the shares cover the requests within the window, the permits and `extra` more requests.
bool cold_shares::has_room(const server_state& state, int extra, clock::time_point now) const {
    return now >= state.blocked_until &&
           int(state.sends.size()) + *state.permits + extra <= usable_shares(state, now);
}

std::optional<milliseconds> cold_shares::time_until_room(const std::string& server, double rate,
                                                         clock::time_point now) {
    const server_state& state = state_of(server, rate, now);
    if (has_room(state, 1, now)) {
        return milliseconds(0);
    }
    const int shares = usable_shares(state, now);
    if (shares <= *state.permits) {
        return std::nullopt;
    }
    const int sends_to_expire = int(state.sends.size()) + *state.permits + 1 - shares;
    clock::time_point free_at = std::max(now, state.blocked_until);
    if (sends_to_expire > 0) {
        free_at = std::max(free_at, state.sends[std::size_t(sends_to_expire - 1)] + share_window(rate));
    }
    return std::chrono::ceil<milliseconds>(free_at - now) + milliseconds(1);
}

void cold_shares::note_unlimited_send(const std::string& server, clock::time_point now) {
    server_state& state = by_server_[server];
    state.blocked_until = now + window;
    state.last_used_at = now;
}

cold_permit cold_shares::take(const std::string& server, double rate, clock::time_point now) {
    server_state& state = state_of(server, rate, now);
    if (!has_room(state, 1, now)) {
        return {};
    }
    return cold_permit(state.permits, server);
}

bool cold_shares::use(cold_permit& permit, double rate, clock::time_point now) {
    if (!permit) {
        return false;
    }
    server_state& state = state_of(permit.server_, rate, now);
    const bool has_share = has_room(state, 0, now);
    if (has_share) {
        state.sends.push_back(now);
    }
    permit.release();
    return has_share;
}

void cold_shares::remove_old(clock::time_point now) {
    std::erase_if(by_server_, [&](const auto& each) {
        return *each.second.permits == 0 && now - each.second.last_used_at > server_retention;
    });
}

} // namespace eelgrassgw

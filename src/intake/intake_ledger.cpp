#include "intake/intake_ledger.h"

#include <algorithm>
#include <tuple>

namespace eelgrassgw {

namespace {

bool has_server(place_state state) {
    return state == place_state::serving || state == place_state::sending;
}

} // namespace

/// Returns the number of connections that a place counts for: a request that is served may have one to a
/// server.
std::size_t intake_ledger::weight_of(place_kind kind, place_state state) {
    if (state == place_state::closing) {
        return 0;
    }
    return kind == place_kind::caller && has_server(state) ? 2 : 1;
}

intake_ledger::place_id intake_ledger::add(place_kind kind, clock::time_point now) {
    place added;
    added.kind = kind;
    added.state_since = now;
    added.last_progress = now;
    added.slot_start = now;
    bytes_ += added.bytes;
    count_of(kind) += weight_of(kind, added.state);
    places_.emplace(++last_id_, added);
    return last_id_;
}

void intake_ledger::remove(place_id id) {
    const auto it = places_.find(id);
    const place& removed = it->second;
    bytes_ -= removed.bytes;
    count_of(removed.kind) -= weight_of(removed.kind, removed.state);
    places_.erase(it);
}

void intake_ledger::set_state(place_id id, place_state state, std::size_t held_bytes, clock::time_point now) {
    place& changed = places_.at(id);
    count_of(changed.kind) += weight_of(changed.kind, state) - weight_of(changed.kind, changed.state);
    changed.state = state;
    changed.state_since = now;
    changed.last_progress = now;
    changed.slot_start = now;
    changed.slot_bytes = 0;
    changed.previous_slot_bytes = 0;
    set_held(id, held_bytes);
}

void intake_ledger::set_held(place_id id, std::size_t held_bytes) {
    place& changed = places_.at(id);
    bytes_ -= changed.bytes;
    changed.bytes = connection_bytes + held_bytes + (has_server(changed.state) ? serving_bytes : 0);
    bytes_ += changed.bytes;
}

void intake_ledger::note_progress(place_id id, std::size_t bytes, clock::time_point now) {
    place& moved = places_.at(id);
    if (now - moved.slot_start >= progress_slot) {
        moved.previous_slot_bytes = now - moved.slot_start < 2 * progress_slot ? moved.slot_bytes : 0;
        moved.slot_bytes = 0;
        moved.slot_start = now;
    }
    moved.slot_bytes += bytes;
    moved.last_progress = now;
}

std::size_t intake_ledger::recent_progress(const place& each, clock::time_point now) {
    const auto age = now - each.slot_start;
    if (age >= 2 * progress_slot) {
        return 0;
    }
    return age >= progress_slot ? each.slot_bytes : each.slot_bytes + each.previous_slot_bytes;
}

bool intake_ledger::may_lose_place(const place& each, clock::time_point now) {
    const bool stalled = now - each.last_progress >= stalled_answer_time;
    return each.state == place_state::reading || (each.state == place_state::sending && stalled);
}

std::optional<intake_ledger::place_id> intake_ledger::choose_for_memory(clock::time_point now) const {
    if (bytes_ <= limits_.max_bytes) {
        return std::nullopt;
    }
    if (bytes_ <= limits_.max_bytes + reserve()) {
        return choose_least_progress(small_place_bytes + 1, now);
    }
    const auto found = choose_least_progress(0, now);
    return found ? found : choose_longest_idle(std::nullopt);
}

std::optional<intake_ledger::place_id> intake_ledger::choose_for_connection(place_kind kind,
                                                                            std::size_t other_connections,
                                                                            clock::time_point now) const {
    if (has_room_for_connection(kind, other_connections)) {
        return std::nullopt;
    }
    const auto idle = choose_longest_idle(kind);
    if (idle || kind == place_kind::control) {
        return idle;
    }
    return choose_least_progress(0, now);
}

std::optional<intake_ledger::place_id>
intake_ledger::choose_for_server_connection(std::size_t other_connections, clock::time_point now) const {
    if (fits_connections(other_connections)) {
        return std::nullopt;
    }
    const auto idle = choose_longest_idle(place_kind::caller);
    return idle ? idle : choose_least_progress(0, now);
}

bool intake_ledger::has_room_for_connection(place_kind kind, std::size_t other_connections) const {
    if (kind == place_kind::control) {
        return controls_ < max_control_connections;
    }
    // The caller's request needs a connection to a server as well.
    return callers_ + other_connections + 2 <= limits_.max_connections;
}

bool intake_ledger::fits(place_id id) const {
    const bool is_small = places_.at(id).bytes <= connection_bytes + serving_bytes + small_place_bytes;
    return bytes_ <= limits_.max_bytes + (is_small ? reserve() : 0);
}

/// Returns the connection with the least recent progress. Those that hold less than half of the average are
/// left out: they would free little, and a small request would lose to a crowd of large ones.
std::optional<intake_ledger::place_id> intake_ledger::choose_least_progress(std::size_t min_bytes,
                                                                            clock::time_point now) const {
    std::size_t count = 0;
    std::size_t total = 0;
    for (const auto& [id, each] : places_) {
        if (may_lose_place(each, now) && each.bytes >= min_bytes) {
            ++count;
            total += each.bytes;
        }
    }
    if (count == 0) {
        return std::nullopt;
    }
    min_bytes = std::max(min_bytes, total / count / 2);
    std::optional<place_id> chosen;
    std::tuple<bool, std::size_t, std::size_t> least;
    for (const auto& [id, each] : places_) {
        if (!may_lose_place(each, now) || each.bytes < min_bytes) {
            continue;
        }
        const bool is_new = now - each.state_since < newcomer_time;
        const std::tuple rank(is_new, recent_progress(each, now), SIZE_MAX - each.bytes);
        if (!chosen || rank < least) {
            chosen = id;
            least = rank;
        }
    }
    return chosen;
}

/// Returns the connection of `kind`, or of any kind, that has been idle longest.
std::optional<intake_ledger::place_id>
intake_ledger::choose_longest_idle(std::optional<place_kind> kind) const {
    std::optional<place_id> chosen;
    clock::time_point longest = clock::time_point::max();
    for (const auto& [id, each] : places_) {
        if (each.state == place_state::idle && (!kind || each.kind == *kind) && each.state_since < longest) {
            chosen = id;
            longest = each.state_since;
        }
    }
    return chosen;
}

} // namespace eelgrassgw

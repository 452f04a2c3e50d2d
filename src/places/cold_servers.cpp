#include "places/cold_servers.h"

#include <algorithm>

namespace eelgrassgw {

cold_servers::cause cold_servers::note_entry(const backend_server& server, const store_position& position,
                                             bool at_start, clock::time_point now) {
    const auto [it, is_unknown] = by_id_.try_emplace(server.id);
    server_state& state = it->second;
    state.listed_at = now;
    state.data_centre = server.data_centre;
    const bool is_new = is_unknown || state.started_ms != server.started_ms;
    if (!is_new && position <= state.position) {
        return cause::none; // The same entry in a further list: its time runs since it was first read.
    }
    // A restored store may list entries from before the server became cold.
    const bool is_restored = !is_new && position.era > state.position.era;
    const bool was_stated = !is_new && state.cold_until > now;
    if (is_new) {
        state = {};
        state.started_ms = server.started_ms;
        state.data_centre = server.data_centre;
        state.listed_at = now;
    }
    state.position = position;
    const bool says_cold = server.cold_time_left > milliseconds(0);
    if (says_cold) {
        state.cold_until = now + server.cold_time_left;
    } else if (!is_restored && now - state.answered_at > entry_delay) {
        state.cold_until = {};
    }
    if (is_new && !at_start) {
        state.presumed_since = now;
        state.presumed_at = position;
        return cause::new_incarnation;
    }
    if (!is_restored && position > state.presumed_at) {
        state.presumed_since = {};
    }
    return says_cold && !was_stated ? cause::stated : cause::none;
}

bool cold_servers::note_answer(const backend_server& server, milliseconds cold_time_left,
                               clock::time_point now) {
    const auto it = by_id_.find(server.id);
    if (it == by_id_.end() || it->second.started_ms != server.started_ms) {
        return false;
    }
    server_state& state = it->second;
    const bool was_stated = state.cold_until > now;
    state.cold_until = now + cold_time_left;
    state.presumed_since = {};
    if (cold_time_left > milliseconds(0)) {
        state.answered_at = now;
    }
    return cold_time_left > milliseconds(0) && !was_stated;
}

std::size_t cold_servers::note_evacuation_end(const std::string& data_centre, const store_position& position,
                                              clock::time_point now) {
    std::size_t n = 0;
    for (auto& [id, state] : by_id_) {
        if (state.data_centre == data_centre) {
            state.presumed_since = now;
            state.presumed_at = position;
            ++n;
        }
    }
    return n;
}

bool cold_servers::is_cold(const backend_server& server, milliseconds warm_up_time,
                           clock::time_point now) const {
    const auto it = by_id_.find(server.id);
    if (it == by_id_.end() || it->second.started_ms != server.started_ms) {
        return true; // An incarnation whose entry has not been noted.
    }
    const server_state& state = it->second;
    const bool is_presumed =
        state.presumed_since != clock::time_point{} && now - state.presumed_since < warm_up_time;
    return state.cold_until > now || is_presumed;
}

void cold_servers::remove_old(clock::time_point now) {
    std::erase_if(by_id_, [&](const auto& each) { return now - each.second.listed_at > retention; });
}

} // namespace eelgrassgw

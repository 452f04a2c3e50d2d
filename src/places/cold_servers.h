#pragma once

/// Keeps track of which backend servers are cold.

#include "backends/backend_server.h"
#include "store/store_objects.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrassgw {

/// What this router knows of the cold state of each server. A server is cold if its entry or an answer says
/// so, and presumed cold from the first sighting of an incarnation, or from the end of an evacuation, until a
/// later entry says how long it stays cold or the service's warm-up time is over. Not thread-safe.
class cold_servers {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    /// Time after an answer that states a cold server in which an entry does not say the opposite: entries
    /// are written every 1,200 ms and arrive late.
    static constexpr milliseconds entry_delay{2500};
    /// Time for which a server is remembered that is no longer listed. If it is listed again, it is not new.
    static constexpr std::chrono::minutes retention{10};

    /// Why a server counts as cold.
    enum class cause { none, stated, new_incarnation, evacuation_ended };

    /// Notes an entry. The incarnation is presumed cold if it is unknown and `at_start` is false. Returns why
    /// the server counts as cold if it did not before.
    cause note_entry(const backend_server& server, const store_position& position, bool at_start,
                     clock::time_point now);

    /// Notes that an answer says for how long the server stays cold. Returns whether it was not stated
    /// before.
    bool note_answer(const backend_server& server, milliseconds cold_time_left, clock::time_point now);

    /// Presumes the known servers of a data centre cold until an entry written after `position` says
    /// otherwise. Returns their number.
    std::size_t note_evacuation_end(const std::string& data_centre, const store_position& position,
                                    clock::time_point now);

    /// Returns whether the server is cold.
    bool is_cold(const backend_server& server, milliseconds warm_up_time, clock::time_point now) const;

    /// Forgets the servers that have not been listed for `retention`.
    void remove_old(clock::time_point now);

private:
    struct server_state {
        std::int64_t started_ms = 0;
        std::string data_centre;
        store_position position;            ///< Position of the last entry.
        clock::time_point listed_at{};      ///< Time of the last entry.
        clock::time_point cold_until{};     ///< End of the cold state as the server stated it.
        clock::time_point answered_at{};    ///< Time of the last answer that stated a cold server.
        clock::time_point presumed_since{}; ///< Time from which the server is presumed cold; unset if not.
        store_position presumed_at;         ///< Only a later entry ends the presumption.
    };

    std::map<std::string, server_state> by_id_;
};

} // namespace eelgrassgw

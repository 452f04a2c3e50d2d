#pragma once

/// Detects routers whose heartbeats have stopped. A false suspicion does no harm, because a live router
/// can safely be recovered too.

#include "eelgrassgw/ledger/allowance_book.h"
#include "eelgrassgw/membership/router_registration.h"

#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Returns the routers that `self` watches: the next `count` after it on the ring of all open incarnations,
/// in alphabetical order.
std::vector<std::string> ring_successors(const std::string& self, std::vector<std::string> open_incarnations,
                                         std::size_t count);

/// Suspects routers whose heartbeat does not change. The class is not thread-safe.
template <object_store Store>
class failure_detector {
public:
    failure_detector(Store& store, std::chrono::milliseconds suspect_after)
        : store_(store), suspect_after_(suspect_after) {}

    /// Reads the heartbeats of `watched` and returns the routers whose heartbeat has not changed for
    /// `suspect_after`. `now` is the time by the local steady clock.
    std::vector<std::string> find_suspects(const std::vector<std::string>& watched, steady_time now) {
        std::vector<std::string> suspected;
        std::map<std::string, seen_heartbeat> next;
        for (const std::string& incarnation : watched) {
            const result<std::optional<stored_object>> object = store_.get(heartbeat_key(incarnation));
            const auto it = seen_.find(incarnation);
            if (!object) {
                continue; // No router can be recovered while the object API is down, so its timer restarts.
            }
            const object_version version = object.value() ? object.value()->version : absent_version;
            const bool unchanged = it != seen_.end() && it->second.version == version;
            next[incarnation] = unchanged ? it->second : seen_heartbeat{version, now};
            if (unchanged && now - it->second.first_seen >= suspect_after_) {
                suspected.push_back(incarnation);
            }
        }
        seen_ = std::move(next);
        return suspected;
    }

private:
    /// The version of a heartbeat and the time at which that version was first seen.
    struct seen_heartbeat {
        object_version version = absent_version;
        steady_time first_seen{};
    };

    Store& store_;
    std::chrono::milliseconds suspect_after_;
    std::map<std::string, seen_heartbeat> seen_;
};

} // namespace eelgrassgw

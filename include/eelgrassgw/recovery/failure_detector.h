#pragma once

/// Which routers look dead, by heartbeats that stopped. Only a hint: recovery is safe on a live router too.

#include "eelgrassgw/ledger/allowance_book.h"
#include "eelgrassgw/membership/router_registration.h"

#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// The routers that `self` watches: the next ones on the ring of all open incarnations.
std::vector<std::string> ring_successors(const std::string& self, std::vector<std::string> open_incarnations,
                                         std::size_t count);

/// Used by one thread.
template <object_store Store>
class failure_detector {
public:
    failure_detector(Store& store, std::chrono::milliseconds suspect_after)
        : store_(store), suspect_after_(suspect_after) {}

    /// Reads the heartbeats of `watched` and returns those unchanged for `suspect_after` on this clock.
    std::vector<std::string> suspects(const std::vector<std::string>& watched, steady_time now) {
        std::vector<std::string> found;
        std::map<std::string, seen_heartbeat> next;
        for (const std::string& incarnation : watched) {
            const result<std::optional<stored_object>> object = store_.get(heartbeat_key(incarnation));
            const auto it = seen_.find(incarnation);
            if (!object) {
                continue; // While the object API is down nobody can be recovered; start over afterwards.
            }
            const object_version version = object.value() ? object.value()->version : absent_version;
            const bool unchanged = it != seen_.end() && it->second.version == version;
            next[incarnation] = unchanged ? it->second : seen_heartbeat{version, now};
            if (unchanged && now - it->second.since >= suspect_after_) {
                found.push_back(incarnation);
            }
        }
        seen_ = std::move(next);
        return found;
    }

private:
    struct seen_heartbeat {
        object_version version = absent_version;
        steady_time since{};
    };

    Store& store_;
    std::chrono::milliseconds suspect_after_;
    std::map<std::string, seen_heartbeat> seen_;
};

} // namespace eelgrassgw

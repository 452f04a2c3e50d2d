#pragma once

/// Keeps the list of evacuated data centres.

#include "store/store_objects.h"

#include <set>
#include <string>
#include <vector>

namespace eelgrassgw {

/// The data centres whose servers must get no requests. Not thread-safe.
class evacuation_list {
public:
    /// One evacuation that came into force or ended.
    struct change {
        std::string data_centre;
        bool in_force = false;
        store_position position; ///< Position of the evacuation, or of the list that lacks it.
    };

    /// Replaces the list by the one that the store returned. Returns the differences. A list from before a
    /// known one is ignored.
    std::vector<change> note_listing(const object_listing& all);

    /// Adopts what another router knows, unless the store has been listed. Returns the differences.
    std::vector<change> note_known_elsewhere(const std::vector<std::string>& data_centres);

    /// Returns whether the list was read from the store or adopted from another router.
    bool is_known() const { return is_known_; }

    /// Returns whether the servers of the data centre must get no requests.
    bool contains(const std::string& data_centre) const { return in_force_.contains(data_centre); }

    /// Returns the evacuated data centres.
    const std::set<std::string>& data_centres() const { return in_force_; }

private:
    std::set<std::string> in_force_;
    store_position listed_at_; ///< Position of the last list from the store.
    bool is_known_ = false;
};

} // namespace eelgrassgw

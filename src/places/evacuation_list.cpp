#include "places/evacuation_list.h"

#include <utility>

namespace eelgrassgw {

std::vector<evacuation_list::change> evacuation_list::note_listing(const object_listing& all) {
    std::vector<change> changes;
    if (all.position < listed_at_) {
        return changes;
    }
    std::set<std::string> listed;
    for (const followed_object& object : all.objects) {
        listed.insert(object.name);
        if (!in_force_.contains(object.name)) {
            changes.push_back({object.name, true, object.position});
        }
    }
    for (const std::string& data_centre : in_force_) {
        if (!listed.contains(data_centre)) {
            changes.push_back({data_centre, false, all.position});
        }
    }
    in_force_ = std::move(listed);
    listed_at_ = all.position;
    is_known_ = true;
    return changes;
}

std::vector<evacuation_list::change>
evacuation_list::note_known_elsewhere(const std::vector<std::string>& data_centres) {
    std::vector<change> changes;
    if (listed_at_ != store_position{}) {
        return changes;
    }
    for (const std::string& data_centre : data_centres) {
        if (in_force_.insert(data_centre).second) {
            changes.push_back({data_centre, true, {}});
        }
    }
    is_known_ = true;
    return changes;
}

} // namespace eelgrassgw

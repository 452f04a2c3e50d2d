#include "routes/configuration_freshness.h"

#include <algorithm>

namespace eelgrassgw {

bool configuration_freshness::note_elsewhere(std::uint64_t version, clock::time_point now) {
    const bool is_newest =
        version > in_force_ && (newer_versions_.empty() || version > newer_versions_.rbegin()->first);
    if (version > in_force_ && newer_versions_.size() < max_known_versions) {
        newer_versions_.try_emplace(version, now);
    }
    return is_newest;
}

void configuration_freshness::note_in_force(std::uint64_t version) {
    in_force_ = version;
    newer_versions_.erase(newer_versions_.begin(), newer_versions_.upper_bound(version));
}

void configuration_freshness::note_store_read(clock::time_point begun_at) {
    std::erase_if(newer_versions_, [&](const auto& each) { return each.second < begun_at; });
}

bool configuration_freshness::is_outdated(clock::time_point now) const {
    if (limit_ <= std::chrono::milliseconds(0)) {
        return false;
    }
    return std::any_of(newer_versions_.begin(), newer_versions_.end(),
                       [&](const auto& each) { return now - each.second > limit_ * 3 / 4; });
}

} // namespace eelgrassgw

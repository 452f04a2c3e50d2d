#include "load/read_parts.h"

#include <algorithm>
#include <functional>

namespace eelgrassgw {

void read_parts::note(const std::string& part, time_point now) {
    if (part.empty()) {
        return;
    }
    if (expiry_by_hash_.size() >= max_parts) {
        std::erase_if(expiry_by_hash_, [&](const auto& each) { return each.second <= now; });
    }
    if (expiry_by_hash_.size() >= max_parts) {
        expiry_by_hash_.erase(
            std::min_element(expiry_by_hash_.begin(), expiry_by_hash_.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    expiry_by_hash_[std::hash<std::string>{}(part)] = now + retention;
}

bool read_parts::contains(const std::string& part, time_point now) const {
    const auto it = expiry_by_hash_.find(std::hash<std::string>{}(part));
    return it != expiry_by_hash_.end() && it->second > now;
}

} // namespace eelgrassgw

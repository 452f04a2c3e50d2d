#include "overload/headroom.h"

#include <algorithm>

namespace eelgrassgw {

const char* name_of(resource_kind resource) {
    constexpr std::array names = {"processor", "link", "descriptors", "memory"};
    return names.at(static_cast<std::size_t>(resource));
}

bool headroom::note(const resource_use& measured) {
    for (std::size_t i = 0; i < resource_use::kind_count; ++i) {
        double& smoothed = smoothed_.parts.at(i);
        smoothed += newest_weight * (measured.parts.at(i) - smoothed);
    }
    const double largest = smoothed_[fullest()];
    const double processor = smoothed_[resource_kind::processor];
    const bool was_full = full_;
    full_ = largest >= (full_ ? room_use : full_use);
    processor_short_ = processor >= (processor_short_ ? ample_use : short_use);
    return full_ != was_full;
}

resource_kind headroom::fullest() const {
    const auto largest = std::max_element(smoothed_.parts.begin(), smoothed_.parts.end());
    return static_cast<resource_kind>(largest - smoothed_.parts.begin());
}

} // namespace eelgrassgw

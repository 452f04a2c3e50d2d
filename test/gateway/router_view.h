#pragma once

/// One router's quarantine in tests without a network.

#include "quarantine/part_quarantine.h"

#include <string>
#include <vector>

namespace eelgrassgw {

/// What one router knows of crashes, and the groups of parts that it has in quarantine.
struct router_view {
    std::vector<part_quarantine::part_group> quarantined_groups;
    part_quarantine quarantine{
        [this](const part_quarantine::part_group& parts, const evidence_by_part&, bool is_quarantined) {
            if (is_quarantined) {
                quarantined_groups.push_back(parts);
            } else {
                std::erase(quarantined_groups, parts);
            }
        }};

    bool rejects(const std::vector<std::string>& parts, clock_reading now) const {
        return quarantine.find_quarantined(parts, now).has_value();
    }
};

} // namespace eelgrassgw

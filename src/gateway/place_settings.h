#pragma once

/// Settings about regions, evacuated data centres and cold servers.

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace eelgrassgw {

/// What a deployment states about its places. Defaults suit a deployment that states nothing.
struct place_settings {
    std::string region;                         ///< Region of this process; empty if not stated.
    std::map<std::string, std::string> regions; ///< Regions by data centre; empty if not stated.

    /// Time from the acknowledgement of an evacuation until it must be in force; unset if the deployment has
    /// no evacuations.
    std::optional<std::chrono::milliseconds> evacuation_limit;

    /// In any second, a cold server takes at most its rate times `cold_overshoot` plus `cold_slack` requests.
    double cold_overshoot = 1;
    double cold_slack = 0;
};

} // namespace eelgrassgw

#pragma once

/// Decides from the crashes under all parts of requests which of the parts are in quarantine.

#include "quarantine/part_evidence.h"
#include "quarantine/part_suspicion.h"

#include <set>
#include <string>
#include <vector>

namespace eelgrassgw {

using part_group = std::set<std::string>;

/// Parts in quarantine. Only requests with all of them are kept back.
struct quarantined_group {
    /// Parts that have crashed the same servers, so that the evidence cannot tell which of them is the cause.
    part_group causes;

    /// Further parts that each of the requests had, if the cause is a fingerprint.
    part_group companions;

    suspicion_level level = suspicion_level::none;
    part_evidence::wall_time in_force_from{}; ///< Earliest time at which requests are kept back.
    part_evidence::wall_time probe_from{};    ///< Earliest time for a probe, if the suspicion is probable.
};

/// A part that may be the cause of crashes.
struct quarantine_candidate {
    std::string part;
    const part_evidence* evidence = nullptr;
};

/// Returns the groups that explain the crashes, so that no crash counts against two of them.
///
/// Among shared parts of prompts, the most suspect ones come first, and parts with the same crashes form one
/// group. If a single request explains these crashes, only requests like it are kept back, so that others
/// with the part can show it to be harmless. Then come the fingerprints of requests, for the crashes that no
/// prompt part explains. Several requests with the same crashes are kept back each for itself, until probes
/// show which of them is the cause. Thread-safe.
std::vector<quarantined_group> decide_quarantine(const std::vector<quarantine_candidate>& candidates);

} // namespace eelgrassgw

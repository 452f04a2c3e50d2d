#pragma once

/// Judges from the crashes under one part of requests whether the part causes them.

#include "quarantine/part_evidence.h"

#include <chrono>
#include <compare>
#include <set>
#include <string>

namespace eelgrassgw {

/// Runs of backend servers, each named by its incarnation.
using server_incarnations = std::set<std::string>;

/// How strongly the crashes under a part speak against it.
enum class suspicion_level {
    none,
    probable, ///< Enough crashes, but one other cause may have ended all these servers.
    proven,
};

/// What the evidence says about one part. Only crashes count that neither a later answer with the part nor
/// another part explains.
///
/// Crashes at nearly the same moment weigh as one, because one cause may end many servers, as a power cut
/// does. But the part may as well have reached many servers at that moment. So a part is also suspected after
/// a number of crashes at whatever times, unless it is soon answered elsewhere. The cause counts as proven
/// once such crashes return again and again while servers answer other requests.
struct part_suspicion {
    using milliseconds = std::chrono::milliseconds;

    /// Weight of a crash of a server that had begun to answer a request with the part.
    static constexpr int weight_after_begin = 5;
    /// Weight of a crash of a server on which such a request was still waiting.
    static constexpr int weight_before_begin = 3;
    /// Weight of the crashes that prove the cause if the part was never answered: three of the heavier ones,
    /// or five of the lighter ones.
    static constexpr int max_weight = 3 * weight_after_begin;
    static_assert(5 * weight_before_begin >= max_weight);
    /// Weight of the crashes that prove the cause if the part was answered before them.
    static constexpr int max_weight_if_answered = 5 * weight_after_begin;
    /// Crashes within this time of a weighed one weigh nothing.
    static constexpr milliseconds simultaneous_crash_time{100};
    /// Number of crashes, at whatever times, that make a part suspect.
    static constexpr std::size_t max_unsurvived_crashes = 5;
    /// The same for the fingerprint of a request that was never answered. It has few requests, so that hardly
    /// anything else makes it crash so many servers.
    static constexpr std::size_t max_crashes_of_request = 3;
    /// Number of moments, with other answers between them, at which so many crashes prove the cause.
    static constexpr int max_unsurvived_moments = 3;
    /// Number of outages, with such crashes only, that prove the cause even if nothing was answered.
    static constexpr int max_unsurvived_outages = 4;
    /// Time for which a probable suspicion has no effect, because most parts are answered within it. Crashes
    /// that are no further apart belong to one outage.
    static constexpr milliseconds settling_time{1000};
    /// Factor by which the time until the next probe grows with each further outage.
    static constexpr int probe_delay_factor = 4;

    suspicion_level level = suspicion_level::none;
    bool was_answered = false;
    int weight = 0;
    server_incarnations crashes;              ///< Crashes that count against the part.
    part_evidence::wall_time in_force_from{}; ///< Earliest time at which the part is kept from servers.
    part_evidence::wall_time probe_from{};    ///< Earliest time for a probe, if the suspicion is probable.

    /// Orders suspicions: proven ones are the greatest, then parts that were never answered, then those with
    /// heavier crashes.
    friend std::weak_ordering operator<=>(const part_suspicion& a, const part_suspicion& b);
};

/// Judges the crashes under a part. `explained` are the crashes that another part explains. Thread-safe.
part_suspicion judge(const part_evidence& evidence, const server_incarnations& explained);

/// Judges the crashes under the fingerprint of a request in the same way. All crashes weigh the same, as many
/// requests are answered in one piece, so that nobody sees whether a server had begun; and only a whole
/// answer speaks for the request, since it asks for the same each time. Thread-safe.
part_suspicion judge_request(const part_evidence& evidence, const server_incarnations& explained);

/// Returns the weight of all crashes that no later answer outlived. Thread-safe.
int weigh_crashes(const part_evidence& evidence);

} // namespace eelgrassgw

#pragma once

/// What the routers know of one part of requests under which backend servers crashed, and its JSON form.

#include "eelgrassgw/base/failure.h"

#include <json/json.h>

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace eelgrassgw {

/// Evidence about one part of requests. Two routers' evidence is combined by `merge`, whose result does not
/// depend on the order or on repetitions, as long as there are no more than `max_crashes`.
struct part_evidence {
    /// Crashes beyond this number say nothing new.
    static constexpr std::size_t max_crashes = 48;

    using wall_time = std::chrono::system_clock::time_point;

    /// A crash of a backend server while it ran a request with the part.
    struct crash {
        wall_time noted_at{}; ///< Earliest time at which a router noted the crash, by that router's clock.
        bool after_begin = false; ///< Whether the server had begun to answer such a request.
        /// Longest time for which the server had been writing an answer to such a request.
        std::chrono::milliseconds written_for{0};
        /// Whether another server wrote an answer with the part, begun after the crash, for a while.
        bool survived = false;
        /// Whether such an answer was whole, or was written for longer than `written_for`.
        bool outlived = false;
        /// Whether a router saw any answer survive that began after the crash before this one, so that the
        /// two are no part of one outage of all servers.
        bool after_answers = false;
    };

    std::map<std::string, crash> crashes; ///< Crashes by the incarnation of the server.

    /// Other parts of the requests with this part under which servers crashed, if each of them had it and
    /// this part is a fingerprint.
    std::set<std::string> companions;

    /// Returns the number of crashes that no later answer outlived.
    std::size_t open_crash_count() const;

    /// Returns the time of the last crash; the epoch if there is none.
    wall_time last_crash_at() const;

    /// Whether a router has seen a request with the part answered whole before it heard of the crashes.
    bool was_answered = false;

    /// Adds what `other` knows. Returns whether that changed anything.
    bool merge(const part_evidence& other);
};

using evidence_by_part = std::map<std::string, part_evidence>;

/// Returns the evidence about one part as a JSON document, with times in Unix milliseconds.
Json::Value to_json(const part_evidence& evidence);

/// Returns the evidence as a JSON document with a member for each part.
Json::Value to_json(const evidence_by_part& evidence);

/// Parses the result of `to_json`. Parts and crashes that cannot be read are left out. Fails if the document
/// is no object.
result<evidence_by_part> parse_evidence(const Json::Value& document);

} // namespace eelgrassgw

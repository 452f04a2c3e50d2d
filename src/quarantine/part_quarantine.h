#pragma once

/// Decides which prompt parts crash the backend servers that answer them, so that requests with such a part
/// are kept from all servers.

#include "quarantine/clock_reading.h"
#include "quarantine/part_evidence.h"
#include "quarantine/recent_parts.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A request that a server was running when it crashed.
struct interrupted_request {
    std::vector<std::string> parts; ///< Shared parts of its prompt.
    bool after_begin = false;       ///< Whether the server had begun to answer it.
};

/// A prompt part in quarantine.
struct quarantined_part {
    std::string part;
    std::chrono::milliseconds time_left{0}; ///< Time until the quarantine ends.
};

/// Collects evidence about prompt parts and puts a part into quarantine once it has crashed several servers
/// in a row.
///
/// A crash tells little by itself: it ends all requests of the server, and a part that most requests share is
/// among them each time. But such a part is soon answered elsewhere, and a part that crashes servers never
/// is. So a crash counts against a part until a request with it that began after the crash is answered, and a
/// part that was answered before needs more crashes. Crashes at nearly the same moment count once, because
/// one cause may end many servers, as a power cut does. A request that was still waiting for its turn on the
/// server counts for three fifths of one whose answer had begun. A part in quarantine explains its crashes,
/// so they do not count against other parts.
///
/// All routers share their evidence. Which parts are in quarantine follows from the evidence alone, so all
/// routers come to the same decision, and a part is released once later evidence explains its crashes by
/// another part. Not thread-safe.
class part_quarantine {
public:
    using steady_time = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    /// Weight of a crash of a server that had begun to answer a request with the part.
    static constexpr int weight_after_begin = 5;
    /// Weight of a crash of a server on which such a request was still waiting.
    static constexpr int weight_before_begin = 3;
    /// Weight of the crashes after which a part that was never answered is in quarantine: three of the
    /// heavier ones, or five of the lighter ones.
    static constexpr int max_weight = 3 * weight_after_begin;
    static_assert(5 * weight_before_begin >= max_weight);
    /// Weight of the crashes after which a part that was answered before them is in quarantine.
    static constexpr int max_weight_if_answered = 5 * weight_after_begin;
    /// Crashes within this time of a counted one are not counted.
    static constexpr milliseconds simultaneous_crash_time{100};
    /// Time for which a request must be answered before it shows that its parts are harmless.
    static constexpr milliseconds survival_time{300};
    /// Time from the last crash under a part to the end of its quarantine.
    static constexpr std::chrono::minutes quarantine_time{60};
    /// Time after which a crash that led to no quarantine is forgotten.
    static constexpr std::chrono::minutes crash_retention{10};
    static constexpr std::size_t max_tracked_parts = 1024;
    /// Largest number of parts in the store, whose objects are bounded.
    static constexpr std::size_t max_stored_parts = 128;
    /// Longest identifier of a part, in bytes, that is tracked.
    static constexpr std::size_t max_part_length = 64;

    /// Time for which a crash is kept back from other routers. Most of the parts that a crash puts under
    /// suspicion are answered elsewhere within it.
    static constexpr milliseconds notice_delay{200};
    /// Time for which a crash is kept back from the store, whose calls are dearer than notices.
    static constexpr milliseconds store_delay{500};

    /// Parts that have crashed the same servers, so that the evidence cannot tell which of them is the cause.
    using part_group = std::set<std::string>;

    using change_callback =
        std::function<void(const part_group& parts, const evidence_by_part& evidence, bool is_quarantined)>;

    /// Calls `on_change` when parts get into quarantine or are released from it.
    explicit part_quarantine(change_callback on_change) : on_change_(std::move(on_change)) {}

    /// Notes that a server crashed while it ran these requests. `incarnation` identifies the run of the
    /// server.
    void note_crash(const std::string& incarnation, const std::vector<interrupted_request>& requests,
                    clock_reading now);

    /// Notes that a request with these shared parts, whose answer began at `began_at`, was answered whole or
    /// for the survival time.
    void note_survival(const std::vector<std::string>& parts, steady_time began_at, clock_reading now);

    /// Adds the evidence of another router or of the store.
    void merge(const evidence_by_part& evidence, clock_reading now);

    /// Returns a quarantined part of a request with these shared parts, if the request must be kept back.
    std::optional<quarantined_part> find_quarantined(const std::vector<std::string>& parts,
                                                     clock_reading now) const;

    /// Returns the evidence that the other routers should get and have not got yet from this one, and counts
    /// it as sent.
    evidence_by_part take_notices(clock_reading now);

    /// Returns the document that should replace `stored` in the store; nothing if `stored` has all that
    /// matters.
    std::optional<evidence_by_part> plan_store_update(const evidence_by_part& stored,
                                                      clock_reading now) const;

    /// Ends all quarantines and forgets all evidence, as an operator asks for by deleting it from the store.
    void clear();

    /// Returns whether no crash is known, so that no part can be in quarantine.
    bool empty() const { return parts_.empty(); }

    /// Returns the number of parts in quarantine.
    std::size_t quarantined_count() const;

private:
    struct tracked_part {
        part_evidence evidence;
        std::map<std::string, steady_time> learned_at; ///< When this router learned of each crash.
        bool has_unsent_change = false;
        bool was_sent = false; ///< Whether other routers have evidence about the part from this one.
    };
    using tracked_parts = std::map<std::string, tracked_part>;
    using incarnations = std::set<std::string>;

    void add(const evidence_by_part& evidence, bool is_own, clock_reading now);
    tracked_part& find_or_add(const std::string& part);
    void remove_least_suspect();
    void remove_expired(clock_reading now);
    void decide();
    void report_changes(const std::vector<part_group>& before) const;
    evidence_by_part evidence_of(const part_group& group) const;
    part_group find_most_suspect(const incarnations& explained) const;
    static incarnations unexplained_crashes(const part_evidence& evidence, const incarnations& explained);
    static int weigh_crashes(const part_evidence& evidence, const incarnations& servers);
    bool is_quarantined(const std::string& part) const;
    static bool has_crash_older_than(const tracked_part& tracked, milliseconds age, clock_reading now);
    bool needs_store_update(const std::string& part, const tracked_part& tracked, const part_evidence* stored,
                            clock_reading now) const;

    change_callback on_change_;
    tracked_parts parts_;

    /// Parts in quarantine. Only requests with all parts of a group are kept back.
    std::vector<part_group> quarantined_;
    recent_parts answered_; ///< Parts of requests that this router saw answered.
};

} // namespace eelgrassgw

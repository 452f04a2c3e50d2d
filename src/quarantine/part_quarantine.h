#pragma once

/// Decides which parts of requests crash the backend servers that answer them, so that requests with such a
/// part are kept from all servers.

#include "quarantine/clock_reading.h"
#include "quarantine/part_evidence.h"
#include "quarantine/probe_schedule.h"
#include "quarantine/quarantine_decision.h"
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
    std::vector<std::string> parts;           ///< Shared parts of its prompt, and its fingerprints.
    bool after_begin = false;                 ///< Whether the server had begun to answer it.
    std::chrono::milliseconds written_for{0}; ///< Time for which the server had been writing events.
};

/// A part in quarantine.
struct quarantined_part {
    std::string part;
    std::chrono::milliseconds time_left{0}; ///< Time after which a request may be served.
    bool may_be_probed = false; ///< Whether single requests may still find out that the part is harmless.
};

/// Collects evidence about parts of requests and puts a part into quarantine once it has crashed several
/// servers in a row. A part is what a request has in common with others: a shared part of its prompt, or its
/// fingerprint, which it has in common with its repetitions.
///
/// A crash tells little by itself: it ends all requests of the server, and a part that most requests share is
/// among them each time. But such a part is soon answered elsewhere, and a part that crashes servers never
/// is. So a crash counts against a part until a request with it whose answer began after the crash is
/// answered whole, or for longer than any answer that the crash broke off. A part that was answered before
/// needs more crashes. `part_suspicion` tells how crashes are weighed. A part in quarantine explains its
/// crashes, so they do not count against other parts; `quarantine_decision` tells in which order.
///
/// Where the crashes may have had another cause, as when all servers lose power at once, nothing would ever
/// end the quarantine of a harmless part. So the routers take turns to send one request with it to a server.
/// If that crashes servers too, the cause is proven.
///
/// All routers share their evidence. Which parts are in quarantine follows from the evidence alone, so all
/// routers come to the same decision, and a part is released once later evidence explains its crashes by
/// another part. Not thread-safe.
class part_quarantine {
public:
    using steady_time = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    /// Time for which an answer must go on, beyond that of the answers that a crash broke off, before it
    /// speaks for its parts.
    static constexpr milliseconds survival_time{300};
    /// A single crash under a part is not reported to others once another answer has survived; more are.
    static constexpr std::size_t min_reported_crashes = 2;
    /// Time from the last crash under a part to the end of its quarantine.
    static constexpr std::chrono::minutes quarantine_time{60};
    /// Time after which a crash that led to no quarantine is forgotten.
    static constexpr std::chrono::minutes crash_retention{10};
    /// Largest number of prompt parts, and of fingerprints, that are tracked.
    static constexpr std::size_t max_tracked_parts = 1024;
    /// Largest number of parts in the store, whose objects are bounded, and of those beyond that number which
    /// are in quarantine.
    static constexpr std::size_t max_stored_parts = 128;
    static constexpr std::size_t max_more_stored_parts = 64;
    /// A request is stored from this number of crashes on. Almost all requests that a crash interrupts never
    /// see another one.
    static constexpr std::size_t min_stored_crashes_of_request = 2;
    /// Longest identifier of a part, in bytes, that is tracked.
    static constexpr std::size_t max_part_length = 64;

    /// Time for which a crash is kept back from other routers. Most of the parts that a crash puts under
    /// suspicion are answered elsewhere within it.
    static constexpr milliseconds notice_delay{200};
    /// Time for which a crash is kept back from the store, whose calls are dearer than notices.
    static constexpr milliseconds store_delay{500};

    using part_group = eelgrassgw::part_group;

    using change_callback =
        std::function<void(const part_group& parts, const evidence_by_part& evidence, bool is_quarantined)>;

    /// Calls `on_change` when parts get into quarantine or are released from it.
    explicit part_quarantine(change_callback on_change) : on_change_(std::move(on_change)) {}

    /// Notes that a server crashed while it ran these requests. `incarnation` identifies the run of the
    /// server.
    void note_crash(const std::string& incarnation, const std::vector<interrupted_request>& requests,
                    clock_reading now);

    /// Notes that a request with these parts, whose answer began at `began_at`, was answered whole.
    void note_answer(const std::vector<std::string>& parts, steady_time began_at, clock_reading now);

    /// Notes that the answer to a request with these parts, which began at `began_at`, goes on. That speaks
    /// for its prompt parts only.
    void note_progress(const std::vector<std::string>& parts, steady_time began_at, clock_reading now);

    /// Sets the addresses of this router and of the others, which take turns to probe suspect parts.
    void set_routers(std::string own, std::vector<std::string> others) {
        probes_.set_routers(std::move(own), std::move(others));
    }

    /// Adds the evidence of another router or of the store.
    void merge(const evidence_by_part& evidence, clock_reading now);

    /// Returns a quarantined part of a request with these parts, if the request must be kept back.
    std::optional<quarantined_part> find_quarantined(const std::vector<std::string>& parts,
                                                     clock_reading now) const;

    /// Returns whether a request with these parts may be sent to one server although it must be kept
    /// back, in order to find out whether they are harmless. Such a request must not be sent again.
    bool take_probe(const std::vector<std::string>& parts, clock_reading now);

    /// Gives back a probe that was not sent, so that another request can take it in the same turn.
    void return_probe(const std::vector<std::string>& parts);

    /// Returns the evidence that the other routers should get and have not got yet from this one, and counts
    /// it as sent.
    evidence_by_part take_notices(clock_reading now);

    /// Returns the document that should replace `stored` in the store; nothing if `stored` has all that
    /// matters.
    std::optional<evidence_by_part> plan_store_update(const evidence_by_part& stored,
                                                      clock_reading now) const;

    /// Returns what a router that has just started should know: the evidence about the parts in quarantine,
    /// and about others of which no answer has spoken for, up to a bound.
    evidence_by_part evidence_for_new_router() const;

    /// Ends all quarantines and forgets all evidence, as an operator asks for by deleting it from the store.
    void clear();

    /// Returns whether no crash is known, so that no part can be in quarantine.
    bool empty() const { return parts_.empty(); }

    /// Returns the number of prompt parts in quarantine.
    std::size_t quarantined_prompt_part_count() const;

    /// Returns the number of requests in quarantine.
    std::size_t quarantined_request_count() const;

private:
    struct tracked_part {
        part_evidence evidence;
        std::map<std::string, steady_time> learned_at; ///< When this router learned of each crash.
        bool has_unsent_change = false;
        bool was_sent = false; ///< Whether other routers have evidence about the part from this one.
        std::int64_t last_probe_turn = 0; ///< Number of the turn in which this router last sent a probe.
    };
    using tracked_parts = std::map<std::string, tracked_part>;

    void add(const evidence_by_part& evidence, bool is_own, clock_reading now);
    tracked_part& find_or_add(const std::string& part);
    void remove_least_suspect(bool among_requests);
    void remove_expired(clock_reading now);
    void decide();
    void note_survival(const std::string& part, steady_time began_at, bool whole, clock_reading now);
    void report_changes(const std::vector<quarantined_group>& before) const;
    evidence_by_part evidence_of(const part_group& group) const;
    std::size_t count_tracked(bool requests) const;
    std::size_t count_quarantined(bool requests) const;
    const quarantined_group* find_group(const std::vector<std::string>& parts, clock_reading now) const;
    bool is_quarantined(const std::string& part) const;
    bool is_after_answers(const std::string& part) const;
    static bool is_settled(const part_evidence& evidence, const part_evidence::crash& crash);
    static bool has_crash_older_than(const tracked_part& tracked, milliseconds age, clock_reading now);
    bool needs_store_update(const std::string& part, const tracked_part& tracked, const part_evidence* stored,
                            clock_reading now) const;

    change_callback on_change_;
    tracked_parts parts_;

    std::vector<quarantined_group> quarantined_;
    recent_parts answered_;              ///< Prompt parts of requests that this router saw answered whole.
    recent_parts answered_requests_;     ///< Fingerprints of such requests, which are many more.
    steady_time last_answer_began_at_{}; ///< Latest begin of an answer that survived.
    probe_schedule probes_;
};

} // namespace eelgrassgw

#include "quarantine/part_quarantine.h"

#include "quarantine/request_fingerprint.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;
using wall_time = part_evidence::wall_time;

bool is_expired(const part_evidence& evidence, bool is_quarantined, clock_reading now) {
    const std::chrono::minutes retention =
        is_quarantined ? part_quarantine::quarantine_time : part_quarantine::crash_retention;
    return now.wall - evidence.last_crash_at() >= retention;
}

} // namespace

void part_quarantine::note_crash(const std::string& incarnation,
                                 const std::vector<interrupted_request>& requests, clock_reading now) {
    evidence_by_part evidence;
    for (const interrupted_request& request : requests) {
        for (const std::string& part : request.parts) {
            part_evidence noted;
            noted.crashes[incarnation] = {now.wall, request.after_begin,   request.written_for, false,
                                          false,    is_after_answers(part)};
            if (is_fingerprint(part)) {
                noted.companions.insert(request.parts.begin(), request.parts.end());
                noted.companions.erase(part);
            }
            evidence[part].merge(noted);
        }
    }
    add(evidence, true, now);
}

void part_quarantine::note_answer(const std::vector<std::string>& parts, steady_time began_at,
                                  clock_reading now) {
    last_answer_began_at_ = std::max(last_answer_began_at_, began_at);
    for (const std::string& part : parts) {
        (is_fingerprint(part) ? answered_requests_ : answered_).insert(part, now.steady);
        note_survival(part, began_at, true, now);
    }
}

void part_quarantine::note_progress(const std::vector<std::string>& parts, steady_time began_at,
                                    clock_reading now) {
    if (now.steady - began_at < survival_time) {
        return;
    }
    last_answer_began_at_ = std::max(last_answer_began_at_, began_at);
    for (const std::string& part : parts) {
        if (!is_fingerprint(part)) {
            note_survival(part, began_at, false, now);
        }
    }
}

/// Notes which crashes under a part the answer to a request with it speaks against. `whole` says whether the
/// answer is complete; otherwise it has gone on for the survival time.
void part_quarantine::note_survival(const std::string& part, steady_time began_at, bool whole,
                                    clock_reading now) {
    const auto it = parts_.find(part);
    if (it == parts_.end()) {
        return;
    }
    tracked_part& tracked = it->second;
    bool has_news = false;
    for (auto& [server, crash] : tracked.evidence.crashes) {
        if (crash.outlived || tracked.learned_at.at(server) >= began_at) {
            continue;
        }
        const bool outlived = whole || now.steady - began_at >= crash.written_for + survival_time;
        has_news = has_news || outlived || !crash.survived;
        crash.survived = true;
        crash.outlived = outlived;
    }
    tracked.has_unsent_change = tracked.has_unsent_change || has_news;
    if (has_news && is_quarantined(part)) {
        decide(); // An answer with any other part makes that part less suspect, which changes nothing.
    }
}

void part_quarantine::merge(const evidence_by_part& evidence, clock_reading now) {
    add(evidence, false, now);
}

/// Adds evidence. `is_own` says whether this router observed it, so that the others should get it.
void part_quarantine::add(const evidence_by_part& evidence, bool is_own, clock_reading now) {
    remove_expired(now);
    for (const auto& [part, known] : evidence) {
        if (part.size() > max_part_length) {
            continue;
        }
        tracked_part& tracked = find_or_add(part);
        const bool is_new = tracked.evidence.merge(known);
        for (const auto& [server, crash] : tracked.evidence.crashes) {
            tracked.learned_at.emplace(server, now.steady);
        }
        const recent_parts& answered = is_fingerprint(part) ? answered_requests_ : answered_;
        const bool knows_more = !tracked.evidence.was_answered && answered.contains(part);
        tracked.evidence.was_answered = tracked.evidence.was_answered || knows_more;
        tracked.has_unsent_change = tracked.has_unsent_change || knows_more || (is_new && is_own);
    }
    decide();
}

/// Returns the group in quarantine all of whose parts are among these; null if there is none.
const quarantined_group* part_quarantine::find_group(const std::vector<std::string>& parts,
                                                     clock_reading now) const {
    const auto is_requested = [&](const std::string& part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    };
    for (const quarantined_group& group : quarantined_) {
        const wall_time last = parts_.at(*group.causes.begin()).evidence.last_crash_at();
        const bool is_in_force = now.wall >= group.in_force_from && now.wall < last + quarantine_time;
        if (is_in_force && std::all_of(group.causes.begin(), group.causes.end(), is_requested) &&
            std::all_of(group.companions.begin(), group.companions.end(), is_requested)) {
            return &group;
        }
    }
    return nullptr;
}

std::optional<quarantined_part> part_quarantine::find_quarantined(const std::vector<std::string>& parts,
                                                                  clock_reading now) const {
    const quarantined_group* group = find_group(parts, now);
    if (group == nullptr) {
        return std::nullopt;
    }
    const std::string& part = *group->causes.begin();
    if (group->level == suspicion_level::probable) {
        const auto until_probe = std::chrono::ceil<milliseconds>(group->probe_from - now.wall);
        return quarantined_part{part, std::max(probe_schedule::turn_time, until_probe), true};
    }
    const auto time_left = parts_.at(part).evidence.last_crash_at() + quarantine_time - now.wall;
    return quarantined_part{part, std::chrono::ceil<milliseconds>(time_left), false};
}

bool part_quarantine::take_probe(const std::vector<std::string>& parts, clock_reading now) {
    const quarantined_group* group = find_group(parts, now);
    if (group == nullptr || group->level != suspicion_level::probable || now.wall < group->probe_from) {
        return false;
    }
    const std::string& part = *group->causes.begin();
    const std::int64_t turn = probe_schedule::turn_at(now.wall);
    std::int64_t& last_turn = parts_.at(part).last_probe_turn;
    if (turn == last_turn || !probe_schedule::has_time_for_result(now.wall) ||
        !probes_.is_own_turn(part, turn)) {
        return false;
    }
    last_turn = turn;
    return true;
}

void part_quarantine::return_probe(const std::vector<std::string>& parts) {
    for (const std::string& part : parts) {
        const auto it = parts_.find(part);
        if (it != parts_.end()) {
            it->second.last_probe_turn = 0;
        }
    }
}

evidence_by_part part_quarantine::take_notices(clock_reading now) {
    evidence_by_part notices;
    for (auto& [part, tracked] : parts_) {
        const bool matters =
            tracked.was_sent || is_quarantined(part) || has_crash_older_than(tracked, notice_delay, now);
        if (tracked.has_unsent_change && matters) {
            tracked.has_unsent_change = false;
            tracked.was_sent = true;
            notices[part] = tracked.evidence;
        }
    }
    return notices;
}

std::optional<evidence_by_part> part_quarantine::plan_store_update(const evidence_by_part& stored,
                                                                   clock_reading now) const {
    evidence_by_part planned = stored;
    bool is_due = false;
    for (const auto& [part, tracked] : parts_) {
        const auto it = stored.find(part);
        const std::size_t max_parts = max_stored_parts + (is_quarantined(part) ? max_more_stored_parts : 0);
        const bool has_room = it != stored.end() || planned.size() < max_parts;
        if (has_room && needs_store_update(part, tracked, it == stored.end() ? nullptr : &it->second, now)) {
            is_due = planned[part].merge(tracked.evidence) || is_due;
        }
    }
    if (!is_due) {
        return std::nullopt;
    }
    std::erase_if(planned,
                  [&](const auto& each) { return is_expired(each.second, is_quarantined(each.first), now); });
    return planned;
}

evidence_by_part part_quarantine::evidence_for_new_router() const {
    evidence_by_part told;
    for (const quarantined_group& group : quarantined_) {
        told.merge(evidence_of(group.causes));
    }
    for (const auto& tracked : parts_) {
        const part_evidence& evidence = tracked.second.evidence;
        const bool is_open =
            std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                        [&](const auto& each) { return !is_settled(evidence, each.second); });
        if (is_open && told.size() < max_stored_parts) {
            told.emplace(tracked.first, evidence);
        }
    }
    return told;
}

void part_quarantine::clear() {
    parts_.clear();
    quarantined_.clear();
    answered_.clear();
    answered_requests_.clear();
}

std::size_t part_quarantine::quarantined_prompt_part_count() const {
    return count_quarantined(false);
}

std::size_t part_quarantine::quarantined_request_count() const {
    return count_quarantined(true);
}

/// Returns the number of requests or of prompt parts in quarantine.
std::size_t part_quarantine::count_quarantined(bool requests) const {
    std::size_t n = 0;
    for (const quarantined_group& group : quarantined_) {
        const auto fingerprints =
            std::size_t(std::count_if(group.causes.begin(), group.causes.end(), is_fingerprint));
        const bool is_request = fingerprints == group.causes.size();
        n += requests ? std::size_t(is_request) : group.causes.size() - fingerprints;
    }
    return n;
}

bool part_quarantine::is_quarantined(const std::string& part) const {
    return std::any_of(quarantined_.begin(), quarantined_.end(),
                       [&](const quarantined_group& group) { return group.causes.contains(part); });
}

/// Returns the entry of a part, for which another one may have to go.
part_quarantine::tracked_part& part_quarantine::find_or_add(const std::string& part) {
    const bool is_request = is_fingerprint(part);
    const bool may_be_full = parts_.size() >= max_tracked_parts;
    if (may_be_full && !parts_.contains(part) && count_tracked(is_request) >= max_tracked_parts) {
        remove_least_suspect(is_request);
    }
    return parts_[part];
}

/// Returns the number of tracked fingerprints or of tracked prompt parts.
std::size_t part_quarantine::count_tracked(bool requests) const {
    return std::size_t(std::count_if(parts_.begin(), parts_.end(), [&](const auto& each) {
        return is_fingerprint(each.first) == requests;
    }));
}

/// Forgets the fingerprint or the prompt part with the lightest crashes, among those the one whose last crash
/// was the first.
void part_quarantine::remove_least_suspect(bool among_requests) {
    const auto rank = [&](const auto& each) {
        const part_evidence& evidence = each.second.evidence;
        const int weight = among_requests ? int(evidence.open_crash_count()) : weigh_crashes(evidence);
        return std::tuple(is_quarantined(each.first), weight, evidence.last_crash_at());
    };
    auto least = parts_.end();
    for (auto it = parts_.begin(); it != parts_.end(); ++it) {
        const bool is_candidate = is_fingerprint(it->first) == among_requests;
        if (is_candidate && (least == parts_.end() || rank(*it) < rank(*least))) {
            least = it;
        }
    }
    if (least != parts_.end()) {
        parts_.erase(least);
    }
}

void part_quarantine::remove_expired(clock_reading now) {
    const auto n = std::erase_if(parts_, [&](const auto& each) {
        return is_expired(each.second.evidence, is_quarantined(each.first), now);
    });
    if (n > 0) {
        decide();
    }
}

/// Puts exactly the parts into quarantine that explain the crashes.
void part_quarantine::decide() {
    std::vector<quarantine_candidate> candidates;
    for (const auto& [part, tracked] : parts_) {
        constexpr std::size_t min_crashes = part_suspicion::max_crashes_of_request;
        if (tracked.evidence.open_crash_count() >= min_crashes) { // Most parts have fewer.
            candidates.push_back({part, &tracked.evidence});
        }
    }
    const std::vector<quarantined_group> before = std::exchange(quarantined_, decide_quarantine(candidates));
    report_changes(before);
}

/// Reports the groups that were added to the quarantine or released from it.
void part_quarantine::report_changes(const std::vector<quarantined_group>& before) const {
    const auto report_missing = [&](const std::vector<quarantined_group>& groups,
                                    const std::vector<quarantined_group>& others, bool is_quarantined) {
        for (const quarantined_group& group : groups) {
            const bool is_missing = std::none_of(others.begin(), others.end(), [&](const auto& other) {
                return other.causes == group.causes;
            });
            if (is_missing) {
                on_change_(group.causes, evidence_of(group.causes), is_quarantined);
            }
        }
    };
    report_missing(before, quarantined_, false);
    report_missing(quarantined_, before, true);
}

evidence_by_part part_quarantine::evidence_of(const part_group& group) const {
    evidence_by_part evidence;
    for (const std::string& part : group) {
        const auto it = parts_.find(part);
        if (it != parts_.end()) {
            evidence[part] = it->second.evidence;
        }
    }
    return evidence;
}

/// Returns whether an answer has survived that began after all known crashes under a part.
bool part_quarantine::is_after_answers(const std::string& part) const {
    const auto it = parts_.find(part);
    return it != parts_.end() &&
           std::all_of(it->second.learned_at.begin(), it->second.learned_at.end(),
                       [&](const auto& each) { return each.second < last_answer_began_at_; });
}

/// Returns whether nobody else needs to hear of a crash under a part, because answers speak against it.
bool part_quarantine::is_settled(const part_evidence& evidence, const part_evidence::crash& crash) {
    constexpr int min_reported_weight = int(min_reported_crashes) * part_suspicion::weight_after_begin;
    return crash.outlived || (crash.survived && weigh_crashes(evidence) < min_reported_weight);
}

bool part_quarantine::has_crash_older_than(const tracked_part& tracked, milliseconds age, clock_reading now) {
    const auto& crashes = tracked.evidence.crashes;
    return std::any_of(crashes.begin(), crashes.end(), [&](const auto& each) {
        return !is_settled(tracked.evidence, each.second) &&
               now.steady - tracked.learned_at.at(each.first) >= age;
    });
}

/// Returns whether the store lacks something about a part that must outlast this process or reach a router
/// that gets no notices.
bool part_quarantine::needs_store_update(const std::string& part, const tracked_part& tracked,
                                         const part_evidence* stored, clock_reading now) const {
    const bool is_culprit = is_quarantined(part);
    const std::size_t min_crashes = is_fingerprint(part) ? min_stored_crashes_of_request : 1;
    const bool has_enough = tracked.evidence.open_crash_count() >= min_crashes;
    const auto& crashes = tracked.evidence.crashes;
    return std::any_of(crashes.begin(), crashes.end(), [&](const auto& each) {
        const auto& [server, crash] = each;
        const bool is_stored = stored != nullptr && stored->crashes.contains(server);
        if (is_settled(tracked.evidence, crash)) {
            return is_stored && crash.outlived && !stored->crashes.at(server).outlived;
        }
        const bool is_ripe = has_enough && now.steady - tracked.learned_at.at(server) >= store_delay;
        return !is_stored && (is_ripe || is_culprit);
    });
}

} // namespace eelgrassgw

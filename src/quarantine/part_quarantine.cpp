#include "quarantine/part_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;
using wall_time = part_evidence::wall_time;

wall_time last_crash_time(const part_evidence& evidence) {
    wall_time last{};
    for (const auto& [server, crash] : evidence.crashes) {
        last = std::max(last, crash.noted_at);
    }
    return last;
}

bool is_expired(const part_evidence& evidence, bool is_quarantined, clock_reading now) {
    const std::chrono::minutes retention =
        is_quarantined ? part_quarantine::quarantine_time : part_quarantine::crash_retention;
    return now.wall - last_crash_time(evidence) >= retention;
}

} // namespace

void part_quarantine::note_crash(const std::string& incarnation,
                                 const std::vector<interrupted_request>& requests, clock_reading now) {
    evidence_by_part evidence;
    for (const interrupted_request& request : requests) {
        for (const std::string& part : request.parts) {
            part_evidence::crash& known = evidence[part].crashes[incarnation];
            known.noted_at = now.wall;
            known.after_begin = known.after_begin || request.after_begin;
        }
    }
    add(evidence, true, now);
}

void part_quarantine::note_survival(const std::vector<std::string>& parts, steady_time began_at,
                                    clock_reading now) {
    bool has_news = false;
    for (const std::string& part : parts) {
        answered_.insert(part, now.steady);
        const auto it = parts_.find(part);
        if (it == parts_.end()) {
            continue;
        }
        tracked_part& tracked = it->second;
        for (auto& [server, crash] : tracked.evidence.crashes) {
            if (!crash.outlived && tracked.learned_at.at(server) < began_at) {
                crash.outlived = true;
                tracked.has_unsent_change = true;
                has_news = true;
            }
        }
    }
    if (has_news) {
        decide();
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
        const bool knows_more = !tracked.evidence.was_answered && answered_.contains(part);
        tracked.evidence.was_answered = tracked.evidence.was_answered || knows_more;
        tracked.has_unsent_change = tracked.has_unsent_change || knows_more || (is_new && is_own);
    }
    decide();
}

std::optional<quarantined_part> part_quarantine::find_quarantined(const std::vector<std::string>& parts,
                                                                  clock_reading now) const {
    const auto is_requested = [&](const std::string& part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    };
    for (const part_group& group : quarantined_) {
        const part_evidence& evidence = parts_.at(*group.begin()).evidence;
        const auto time_left = last_crash_time(evidence) + quarantine_time - now.wall;
        if (time_left > std::chrono::seconds(0) && std::all_of(group.begin(), group.end(), is_requested)) {
            return quarantined_part{*group.begin(), std::chrono::ceil<milliseconds>(time_left)};
        }
    }
    return std::nullopt;
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
        const bool has_room = it != stored.end() || is_quarantined(part) || planned.size() < max_stored_parts;
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

void part_quarantine::clear() {
    parts_.clear();
    quarantined_.clear();
    answered_.clear();
}

std::size_t part_quarantine::quarantined_count() const {
    std::size_t n = 0;
    for (const part_group& group : quarantined_) {
        n += group.size();
    }
    return n;
}

bool part_quarantine::is_quarantined(const std::string& part) const {
    return std::any_of(quarantined_.begin(), quarantined_.end(),
                       [&](const part_group& group) { return group.contains(part); });
}

/// Returns the entry of a part, for which another one may have to go.
part_quarantine::tracked_part& part_quarantine::find_or_add(const std::string& part) {
    if (!parts_.contains(part) && parts_.size() >= max_tracked_parts) {
        remove_least_suspect();
    }
    return parts_[part];
}

/// Forgets the part with the lightest crashes, among those the one whose last crash was the first.
void part_quarantine::remove_least_suspect() {
    const auto rank = [&](const auto& each) {
        const part_evidence& evidence = each.second.evidence;
        const int weight = weigh_crashes(evidence, unexplained_crashes(evidence, {}));
        return std::tuple(is_quarantined(each.first), weight, last_crash_time(evidence));
    };
    const auto least = std::min_element(parts_.begin(), parts_.end(),
                                        [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
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

/// Finds the parts that explain the crashes, the most suspect ones first, and puts exactly these into
/// quarantine.
void part_quarantine::decide() {
    const std::vector<part_group> before = std::exchange(quarantined_, {});
    incarnations explained;
    for (part_group group = find_most_suspect(explained); !group.empty();
         group = find_most_suspect(explained)) {
        for (const auto& [server, crash] : parts_.at(*group.begin()).evidence.crashes) {
            explained.insert(server);
        }
        quarantined_.push_back(std::move(group));
    }
    if (quarantined_ != before) {
        report_changes(before);
    }
}

/// Reports the groups that were added to the quarantine or released from it.
void part_quarantine::report_changes(const std::vector<part_group>& before) const {
    const auto report_missing = [&](const std::vector<part_group>& groups,
                                    const std::vector<part_group>& others, bool is_quarantined) {
        for (const part_group& group : groups) {
            if (std::find(others.begin(), others.end(), group) == others.end()) {
                on_change_(group, evidence_of(group), is_quarantined);
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

/// Returns the most suspect part that has too many unexplained crashes, with all parts that the evidence
/// cannot tell from it; nothing if there is none. Parts that were never answered come first, then those with
/// more crashes.
part_quarantine::part_group part_quarantine::find_most_suspect(const incarnations& explained) const {
    part_group best;
    std::pair<bool, int> best_rank;
    incarnations best_crashes;
    for (const auto& [part, tracked] : parts_) {
        const part_evidence& evidence = tracked.evidence;
        if (int(evidence.crashes.size()) * weight_after_begin < max_weight) {
            continue; // Most parts are left out here, at little cost.
        }
        const incarnations crashes = unexplained_crashes(evidence, explained);
        const int weight = weigh_crashes(evidence, crashes);
        if (weight < (evidence.was_answered ? max_weight_if_answered : max_weight)) {
            continue;
        }
        const std::pair rank(!evidence.was_answered, weight);
        if (!best.empty() && rank == best_rank && crashes == best_crashes) {
            best.insert(part);
        } else if (best.empty() || rank > best_rank) {
            best = {part};
            best_rank = rank;
            best_crashes = crashes;
        }
    }
    return best;
}

/// Returns the crashes under a part that no later answer outlived and no other part explains.
part_quarantine::incarnations part_quarantine::unexplained_crashes(const part_evidence& evidence,
                                                                   const incarnations& explained) {
    incarnations servers;
    for (const auto& [server, crash] : evidence.crashes) {
        if (!crash.outlived && !explained.contains(server)) {
            servers.insert(server);
        }
    }
    return servers;
}

/// Returns the weight of the crashes of these servers, those at nearly the same moment once.
int part_quarantine::weigh_crashes(const part_evidence& evidence, const incarnations& servers) {
    std::vector<std::pair<wall_time, int>> crashes;
    for (const std::string& server : servers) {
        const part_evidence::crash& crash = evidence.crashes.at(server);
        crashes.emplace_back(crash.noted_at, crash.after_begin ? weight_after_begin : weight_before_begin);
    }
    std::sort(crashes.begin(), crashes.end());
    int total = 0;
    int weight_of_moment = 0;
    std::optional<wall_time> moment;
    for (const auto& [at, weight] : crashes) {
        if (!moment || at - *moment >= simultaneous_crash_time) {
            moment = at;
            weight_of_moment = 0;
        }
        total += std::max(0, weight - weight_of_moment);
        weight_of_moment = std::max(weight, weight_of_moment);
    }
    return total;
}

bool part_quarantine::has_crash_older_than(const tracked_part& tracked, milliseconds age, clock_reading now) {
    const auto& crashes = tracked.evidence.crashes;
    return std::any_of(crashes.begin(), crashes.end(), [&](const auto& each) {
        return !each.second.outlived && now.steady - tracked.learned_at.at(each.first) >= age;
    });
}

/// Returns whether the store lacks something about a part that must outlast this process or reach a router
/// that gets no notices.
bool part_quarantine::needs_store_update(const std::string& part, const tracked_part& tracked,
                                         const part_evidence* stored, clock_reading now) const {
    const bool is_culprit = is_quarantined(part);
    const auto& crashes = tracked.evidence.crashes;
    return std::any_of(crashes.begin(), crashes.end(), [&](const auto& each) {
        const auto& [server, crash] = each;
        const bool is_stored = stored != nullptr && stored->crashes.contains(server);
        if (crash.outlived) {
            return is_stored && !stored->crashes.at(server).outlived;
        }
        const bool is_ripe = now.steady - tracked.learned_at.at(server) >= store_delay;
        return !is_stored && (is_ripe || is_culprit);
    });
}

} // namespace eelgrassgw

#include "quarantine/quarantine_decision.h"

#include "quarantine/request_fingerprint.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace eelgrassgw {

namespace {

using candidate_list = std::vector<quarantine_candidate>;

/// The most suspect parts, which the evidence cannot tell apart.
struct tied_parts {
    candidate_list parts;
    part_suspicion suspicion;
};

/// Returns the most suspect of the candidates with all that have the same crashes; nothing if none is
/// suspect.
template <class Judge>
tied_parts find_most_suspect(const candidate_list& candidates, const Judge& judge_evidence,
                             const server_incarnations& explained) {
    tied_parts best;
    for (const quarantine_candidate& each : candidates) {
        part_suspicion suspicion = judge_evidence(*each.evidence, explained);
        if (suspicion.level == suspicion_level::none) {
            continue;
        }
        const auto order = suspicion <=> best.suspicion;
        if (!best.parts.empty() && order == 0 && suspicion.crashes == best.suspicion.crashes) {
            best.parts.push_back(each);
        } else if (best.parts.empty() || order > 0) {
            best = {{each}, std::move(suspicion)};
        }
    }
    return best;
}

/// Adds the crashes that the most suspect parts explain.
void add_explained(const tied_parts& most, server_incarnations& explained) {
    for (const auto& [server, crash] : most.parts.front().evidence->crashes) {
        explained.insert(server);
    }
}

quarantined_group make_group(const candidate_list& causes, const part_suspicion& suspicion) {
    quarantined_group group{{}, {}, suspicion.level, suspicion.in_force_from, suspicion.probe_from};
    for (const quarantine_candidate& each : causes) {
        group.causes.insert(each.part);
        group.companions.insert(each.evidence->companions.begin(), each.evidence->companions.end());
    }
    std::erase_if(group.companions, [&](const std::string& part) { return group.causes.contains(part); });
    return group;
}

template <class Set>
bool contains_all(const Set& all, const Set& some) {
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

/// Returns the suspect fingerprints of requests that had all parts of the group and explain its crashes.
candidate_list find_explaining_requests(const candidate_list& requests, const quarantined_group& group,
                                        const server_incarnations& crashes) {
    candidate_list explaining;
    for (const quarantine_candidate& each : requests) {
        const part_suspicion suspicion = judge_request(*each.evidence, {});
        const bool is_suspect = suspicion.level != suspicion_level::none;
        if (is_suspect && contains_all(each.evidence->companions, group.causes) &&
            contains_all(suspicion.crashes, crashes)) {
            explaining.push_back(each);
        }
    }
    return explaining;
}

/// Splits fingerprints into lists of those that one request can have. Of the fingerprints of a request that
/// comes with different details, only the wide one stays.
std::vector<candidate_list> split_by_request(const candidate_list& fingerprints) {
    std::map<std::string_view, candidate_list> by_request;
    for (const quarantine_candidate& each : fingerprints) {
        by_request[request_of(each.part)].push_back(each);
    }
    std::vector<candidate_list> requests;
    for (auto& [request, of_request] : by_request) {
        const bool has_wide = of_request.front().part == request; // It sorts before the narrow ones.
        const std::size_t narrow_count = of_request.size() - (has_wide ? 1 : 0);
        if (narrow_count <= 1) {
            requests.push_back(std::move(of_request));
        } else if (has_wide) {
            requests.push_back({of_request.front()});
        } else {
            for (const quarantine_candidate& narrow : of_request) {
                requests.push_back({narrow});
            }
        }
    }
    return requests;
}

void add_prompt_parts(const candidate_list& parts, const candidate_list& requests,
                      server_incarnations& explained, std::vector<quarantined_group>& groups) {
    for (;;) {
        const tied_parts most = find_most_suspect(parts, judge, explained);
        if (most.parts.empty()) {
            return;
        }
        quarantined_group group = make_group(most.parts, most.suspicion);
        const auto explaining =
            split_by_request(find_explaining_requests(requests, group, most.suspicion.crashes));
        if (explaining.size() == 1) {
            const quarantined_group request = make_group(explaining.front(), most.suspicion);
            group.causes.insert(request.causes.begin(), request.causes.end());
            group.companions = request.companions;
        }
        groups.push_back(std::move(group));
        add_explained(most, explained);
    }
}

void add_requests(const candidate_list& requests, server_incarnations& explained,
                  std::vector<quarantined_group>& groups) {
    for (;;) {
        tied_parts most = find_most_suspect(requests, judge_request, explained);
        if (most.parts.empty()) {
            return;
        }
        const std::vector<candidate_list> tied = split_by_request(most.parts);
        if (tied.size() > 1) {
            most.suspicion.level = suspicion_level::probable;
            most.suspicion.probe_from =
                most.parts.front().evidence->last_crash_at() + part_suspicion::settling_time;
        }
        for (const candidate_list& each : tied) {
            groups.push_back(make_group(each, most.suspicion));
        }
        add_explained(most, explained);
    }
}

} // namespace

std::vector<quarantined_group> decide_quarantine(const std::vector<quarantine_candidate>& candidates) {
    candidate_list parts;
    candidate_list requests;
    for (const quarantine_candidate& each : candidates) {
        (is_fingerprint(each.part) ? requests : parts).push_back(each);
    }
    server_incarnations explained;
    std::vector<quarantined_group> groups;
    add_prompt_parts(parts, requests, explained, groups);
    add_requests(requests, explained, groups);
    return groups;
}

} // namespace eelgrassgw

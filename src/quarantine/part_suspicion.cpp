#include "quarantine/part_suspicion.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace eelgrassgw {

namespace {

using wall_time = part_evidence::wall_time;

/// Returns the crashes under a part that no later answer outlived and no other part explains.
server_incarnations unexplained_crashes(const part_evidence& evidence, const server_incarnations& explained) {
    server_incarnations servers;
    for (const auto& [server, crash] : evidence.crashes) {
        if (!crash.outlived && !explained.contains(server)) {
            servers.insert(server);
        }
    }
    return servers;
}

/// Returns the weight of the crashes of these servers, those at nearly the same moment once.
int weigh_crashes_of(const part_evidence& evidence, const server_incarnations& servers) {
    std::vector<std::pair<wall_time, int>> crashes;
    for (const std::string& server : servers) {
        const part_evidence::crash& crash = evidence.crashes.at(server);
        crashes.emplace_back(crash.noted_at, crash.after_begin ? part_suspicion::weight_after_begin
                                                               : part_suspicion::weight_before_begin);
    }
    std::sort(crashes.begin(), crashes.end());
    int total = 0;
    int weight_of_moment = 0;
    std::optional<wall_time> moment;
    for (const auto& [at, weight] : crashes) {
        if (!moment || at - *moment >= part_suspicion::simultaneous_crash_time) {
            moment = at;
            weight_of_moment = 0;
        }
        total += std::max(0, weight - weight_of_moment);
        weight_of_moment = std::max(weight, weight_of_moment);
    }
    return total;
}

/// Returns the crashes of these servers, the earliest first.
std::vector<part_evidence::crash> crashes_in_order(const part_evidence& evidence,
                                                   const server_incarnations& servers) {
    std::vector<part_evidence::crash> crashes;
    for (const std::string& server : servers) {
        crashes.push_back(evidence.crashes.at(server));
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const auto& a, const auto& b) { return a.noted_at < b.noted_at; });
    return crashes;
}

/// Returns the number of moments with crashes between which servers wrote other answers. A moment lasts as
/// long as crashes follow one another closely. Precondition: `crashes` are in the order of their times.
int count_moments(const std::vector<part_evidence::crash>& crashes) {
    int moments = crashes.empty() ? 0 : 1;
    bool is_separate = false;
    for (std::size_t i = 1; i < crashes.size(); ++i) {
        const auto gap = crashes[i].noted_at - crashes[i - 1].noted_at;
        is_separate = is_separate || gap >= part_suspicion::simultaneous_crash_time;
        if (is_separate && crashes[i].after_answers) {
            ++moments;
            is_separate = false;
        }
    }
    return moments;
}

/// Returns the number of outages that the crashes would be if the part were harmless. Precondition: `crashes`
/// are in the order of their times.
int count_outages(const std::vector<part_evidence::crash>& crashes) {
    int outages = crashes.empty() ? 0 : 1;
    for (std::size_t i = 1; i < crashes.size(); ++i) {
        const auto gap = crashes[i].noted_at - crashes[i - 1].noted_at;
        outages += gap >= part_suspicion::settling_time ? 1 : 0;
    }
    return outages;
}

/// Returns the time from the last crash to the next probe.
std::chrono::milliseconds probe_delay(int outages) {
    std::chrono::milliseconds delay = part_suspicion::settling_time;
    for (int i = 1; i < outages; ++i) {
        delay *= part_suspicion::probe_delay_factor;
    }
    return delay;
}

} // namespace

std::weak_ordering operator<=>(const part_suspicion& a, const part_suspicion& b) {
    return std::tuple(a.level, !a.was_answered, a.weight) <=> std::tuple(b.level, !b.was_answered, b.weight);
}

namespace {

/// Judges the crashes of which `max_crashes` make a part suspect whatever their times are. `is_proven` says
/// whether something else proves the cause. Precondition: `crashes` are in the order of their times.
void set_level(part_suspicion& suspicion, const std::vector<part_evidence::crash>& crashes,
               std::size_t max_crashes, bool is_proven) {
    const bool has_many_crashes = crashes.size() >= max_crashes;
    const int outages = count_outages(crashes);
    const bool returns = count_moments(crashes) >= part_suspicion::max_unsurvived_moments ||
                         outages >= part_suspicion::max_unsurvived_outages;
    if (has_many_crashes) {
        suspicion.probe_from = crashes.back().noted_at + probe_delay(outages);
    }
    if (is_proven || (has_many_crashes && returns)) {
        suspicion.level = suspicion_level::proven;
    } else if (has_many_crashes) {
        suspicion.level = suspicion_level::probable;
        suspicion.in_force_from = crashes[max_crashes - 1].noted_at + part_suspicion::settling_time;
    }
}

} // namespace

part_suspicion judge(const part_evidence& evidence, const server_incarnations& explained) {
    part_suspicion suspicion;
    suspicion.was_answered = evidence.was_answered;
    suspicion.crashes = unexplained_crashes(evidence, explained);
    suspicion.weight = weigh_crashes_of(evidence, suspicion.crashes);
    const int max_weight =
        evidence.was_answered ? part_suspicion::max_weight_if_answered : part_suspicion::max_weight;
    auto crashes = crashes_in_order(evidence, suspicion.crashes);
    std::erase_if(crashes, [](const auto& each) { return each.survived; });
    set_level(suspicion, crashes, part_suspicion::max_unsurvived_crashes, suspicion.weight >= max_weight);
    return suspicion;
}

part_suspicion judge_request(const part_evidence& evidence, const server_incarnations& explained) {
    part_suspicion suspicion;
    suspicion.was_answered = evidence.was_answered;
    suspicion.crashes = unexplained_crashes(evidence, explained);
    suspicion.weight = int(suspicion.crashes.size());
    const std::size_t max_crashes = evidence.was_answered ? part_suspicion::max_unsurvived_crashes
                                                          : part_suspicion::max_crashes_of_request;
    set_level(suspicion, crashes_in_order(evidence, suspicion.crashes), max_crashes, false);
    return suspicion;
}

int weigh_crashes(const part_evidence& evidence) {
    return weigh_crashes_of(evidence, unexplained_crashes(evidence, {}));
}

} // namespace eelgrassgw

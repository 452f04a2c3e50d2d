#include "quarantine/part_evidence.h"

#include "eelgrassgw/base/json.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace eelgrassgw {

namespace {

using wall_time = part_evidence::wall_time;

Json::Int64 to_unix_ms(wall_time time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

wall_time time_member(const Json::Value& object, const char* name) {
    return wall_time(std::chrono::milliseconds(int_member(object, name)));
}

/// Adds one router's view of a crash. Returns whether that changed anything.
bool merge_crash(part_evidence::crash& known, const part_evidence::crash& other) {
    const bool changed = (other.after_begin && !known.after_begin) || (other.outlived && !known.outlived) ||
                         (other.survived && !known.survived) || other.written_for > known.written_for ||
                         (other.after_answers && !known.after_answers) || other.noted_at < known.noted_at;
    known.noted_at = std::min(known.noted_at, other.noted_at);
    known.after_begin = known.after_begin || other.after_begin;
    known.written_for = std::max(known.written_for, other.written_for);
    known.survived = known.survived || other.survived;
    known.outlived = known.outlived || other.outlived;
    known.after_answers = known.after_answers || other.after_answers;
    return changed;
}

/// Parses a crash; nothing if a time is missing or is none that a clock shows.
std::optional<part_evidence::crash> parse_crash(const Json::Value& document) {
    constexpr std::int64_t max_unix_ms = 4'102'444'800'000; // The year 2100; later times overflow the clock.
    for (const char* name : {"noted_ms", "written_ms"}) {
        const std::int64_t ms = int_member(document, name);
        if (ms < 0 || ms > max_unix_ms) {
            return std::nullopt;
        }
    }
    if (!member(document, "noted_ms").isInt64()) {
        return std::nullopt;
    }
    part_evidence::crash crash;
    crash.noted_at = time_member(document, "noted_ms");
    crash.after_begin = bool_member(document, "after_begin");
    crash.written_for = std::chrono::milliseconds(int_member(document, "written_ms"));
    crash.survived = bool_member(document, "survived");
    crash.outlived = bool_member(document, "outlived");
    crash.after_answers = bool_member(document, "after_answers");
    return crash;
}

} // namespace

std::size_t part_evidence::open_crash_count() const {
    return std::size_t(std::count_if(crashes.begin(), crashes.end(),
                                     [](const auto& each) { return !each.second.outlived; }));
}

part_evidence::wall_time part_evidence::last_crash_at() const {
    wall_time last{};
    for (const auto& [server, crash] : crashes) {
        last = std::max(last, crash.noted_at);
    }
    return last;
}

bool part_evidence::merge(const part_evidence& other) {
    bool changed = other.was_answered && !was_answered;
    if (crashes.empty()) {
        companions = other.companions;
    } else if (!other.crashes.empty()) {
        const auto n = std::erase_if(
            companions, [&](const std::string& part) { return !other.companions.contains(part); });
        changed = changed || n > 0;
    }
    was_answered = was_answered || other.was_answered;
    for (const auto& [server, crash] : other.crashes) {
        const auto it = crashes.find(server);
        if (it != crashes.end()) {
            changed = merge_crash(it->second, crash) || changed;
        } else if (crashes.size() < max_crashes) {
            crashes.emplace(server, crash);
            changed = true;
        }
    }
    return changed;
}

Json::Value to_json(const part_evidence& evidence) {
    Json::Value document;
    document["was_answered"] = evidence.was_answered;
    for (const std::string& part : evidence.companions) {
        document["companions"].append(part);
    }
    for (const auto& [server, crash] : evidence.crashes) {
        Json::Value& entry = document["crashes"][server];
        entry["noted_ms"] = to_unix_ms(crash.noted_at);
        entry["after_begin"] = crash.after_begin;
        entry["outlived"] = crash.outlived;
        if (crash.written_for > std::chrono::milliseconds(0)) {
            entry["written_ms"] = Json::Int64(crash.written_for.count());
        }
        if (crash.survived) {
            entry["survived"] = true;
        }
        if (crash.after_answers) {
            entry["after_answers"] = true;
        }
    }
    return document;
}

Json::Value to_json(const evidence_by_part& evidence) {
    Json::Value document(Json::objectValue);
    for (const auto& [part, known] : evidence) {
        document[part] = to_json(known);
    }
    return document;
}

result<evidence_by_part> parse_evidence(const Json::Value& document) {
    if (!document.isObject()) {
        return make_failure(errc::malformed, "parse crash evidence", "", "the document is not an object");
    }
    evidence_by_part evidence;
    for (const std::string& part : document.getMemberNames()) {
        const Json::Value& crashes = member(document[part], "crashes");
        if (!document[part].isObject() || !(crashes.isNull() || crashes.isObject())) {
            continue; // The others hold.
        }
        part_evidence& known = evidence[part];
        known.was_answered = bool_member(document[part], "was_answered");
        for (std::string& each : string_elements(member(document[part], "companions"))) {
            known.companions.insert(std::move(each));
        }
        for (const std::string& server : crashes.getMemberNames()) {
            if (const auto crash = parse_crash(crashes[server])) {
                known.crashes[server] = *crash;
            }
        }
    }
    return evidence;
}

} // namespace eelgrassgw

#include "eelgrassgw/base/failpoint.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <sstream>

namespace eelgrassgw {

namespace {

struct armed_failpoint {
    std::string action;
    int fires_at_hit = 0; ///< Number of the hit that fires, from 1; 0 fires at every hit.
    bool fires_at_later_hits = false;
    int hit_count = 0;
};

struct failpoint_table {
    std::mutex mutex;
    std::map<std::string, armed_failpoint> armed;
};

failpoint_table& table() {
    static failpoint_table instance;
    return instance;
}

failpoint_action parse_action(const std::string& text) {
    static const std::map<std::string, failpoint_action> actions = {
        {"skip", failpoint_action::skip},
        {"error", failpoint_action::error},
        {"unreachable", failpoint_action::unreachable},
        {"lose_request", failpoint_action::lose_request},
        {"lose_answer", failpoint_action::lose_answer},
        {"late", failpoint_action::late},
        {"twice", failpoint_action::twice},
        {"slow", failpoint_action::slow},
    };
    const auto it = actions.find(text);
    return it == actions.end() ? failpoint_action::none : it->second;
}

/// Counts a hit of the failpoint `name`. Returns its action, or an empty string if it does not fire.
std::string count_hit(const char* name) {
    failpoint_table& points = table();
    const std::lock_guard<std::mutex> lock(points.mutex);
    const auto it = points.armed.find(name);
    if (it == points.armed.end()) {
        return {};
    }
    ++it->second.hit_count;
    const armed_failpoint& point = it->second;
    const bool fires = point.fires_at_hit == 0 || point.fires_at_hit == point.hit_count ||
                       (point.fires_at_later_hits && point.hit_count > point.fires_at_hit);
    return fires ? point.action : std::string();
}

} // namespace

namespace internal {

failpoint_action hit_failpoint(const char* name) {
    const std::string action = count_hit(name);
    if (!action.empty()) {
        std::fprintf(stderr, "failpoint %s=%s\n", name, action.c_str());
    }
    // Raises the signal in this thread: another thread may handle a signal sent to the process while this
    // thread continues past the failpoint.
    if (action == "exit") {
        std::raise(SIGKILL);
    }
    if (action == "freeze") {
        std::raise(SIGSTOP);
    }
    return parse_action(action);
}

} // namespace internal

void arm_failpoints(const std::string& text) {
    failpoint_table& points = table();
    const std::lock_guard<std::mutex> lock(points.mutex);
    std::istringstream entry_stream(text);
    std::string entry;
    while (std::getline(entry_stream, entry, ',')) {
        const std::size_t equals = entry.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        armed_failpoint point;
        const std::size_t colon = entry.find(':', equals);
        point.action = entry.substr(equals + 1, colon == std::string::npos ? colon : colon - equals - 1);
        point.fires_at_hit = colon == std::string::npos ? 0 : std::atoi(entry.c_str() + colon + 1);
        point.fires_at_later_hits = entry.ends_with('+');
        points.armed[entry.substr(0, equals)] = point;
    }
}

} // namespace eelgrassgw

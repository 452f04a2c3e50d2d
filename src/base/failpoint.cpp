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
    int fires_at_pass = 0; ///< 0: at every pass.
    bool fires_afterwards = false;
    int passes = 0;
};

struct failpoint_table {
    std::mutex mutex;
    std::map<std::string, armed_failpoint> armed;
};

failpoint_table& table() {
    static failpoint_table instance;
    return instance;
}

failpoint_action action_from_text(const std::string& text) {
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

std::string action_at(const char* name) {
    failpoint_table& points = table();
    const std::lock_guard<std::mutex> lock(points.mutex);
    const auto it = points.armed.find(name);
    if (it == points.armed.end()) {
        return {};
    }
    ++it->second.passes;
    const armed_failpoint& point = it->second;
    const bool fires = point.fires_at_pass == 0 || point.fires_at_pass == point.passes ||
                       (point.fires_afterwards && point.passes > point.fires_at_pass);
    return fires ? point.action : std::string();
}

} // namespace

namespace internal {

failpoint_action hit_failpoint(const char* name) {
    const std::string action = action_at(name);
    if (!action.empty()) {
        std::fprintf(stderr, "failpoint %s=%s\n", name, action.c_str());
    }
    // The signal goes to this very thread: one sent to the process may be taken by another thread, while
    // this one goes on.
    if (action == "exit") {
        std::raise(SIGKILL);
    }
    if (action == "freeze") {
        std::raise(SIGSTOP);
    }
    return action_from_text(action);
}

} // namespace internal

void arm_failpoints(const std::string& text) {
    failpoint_table& points = table();
    const std::lock_guard<std::mutex> lock(points.mutex);
    std::istringstream entries(text);
    std::string entry;
    while (std::getline(entries, entry, ',')) {
        const std::size_t equals = entry.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        armed_failpoint point;
        const std::size_t colon = entry.find(':', equals);
        point.action = entry.substr(equals + 1, colon == std::string::npos ? colon : colon - equals - 1);
        point.fires_at_pass = colon == std::string::npos ? 0 : std::atoi(entry.c_str() + colon + 1);
        point.fires_afterwards = entry.ends_with('+');
        points.armed[entry.substr(0, equals)] = point;
    }
}

} // namespace eelgrassgw

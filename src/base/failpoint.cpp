#include "eelgrassgw/base/failpoint.h"

#include <csignal>
#include <cstdlib>
#include <map>
#include <mutex>
#include <sstream>
#include <unistd.h>

namespace eelgrassgw {

namespace {

struct armed_failpoint {
    std::string action;
    int fires_at_pass = 0; ///< 0: at every pass.
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

std::string action_at(const char* name) {
    failpoint_table& points = table();
    const std::lock_guard<std::mutex> lock(points.mutex);
    const auto it = points.armed.find(name);
    if (it == points.armed.end()) {
        return {};
    }
    ++it->second.passes;
    const bool fires = it->second.fires_at_pass == 0 || it->second.fires_at_pass == it->second.passes;
    return fires ? it->second.action : std::string();
}

} // namespace

namespace internal {

failpoint_action hit_failpoint(const char* name) {
    const std::string action = action_at(name);
    if (action == "exit") {
        ::kill(::getpid(), SIGKILL);
    }
    if (action == "freeze") {
        ::kill(::getpid(), SIGSTOP);
    }
    if (action == "skip") {
        return failpoint_action::skip;
    }
    return action == "error" ? failpoint_action::error : failpoint_action::none;
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
        points.armed[entry.substr(0, equals)] = point;
    }
}

} // namespace eelgrassgw

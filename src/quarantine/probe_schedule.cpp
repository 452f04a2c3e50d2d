#include "quarantine/probe_schedule.h"

#include "eelgrassgw/base/hash.h"

#include <algorithm>
#include <utility>

namespace eelgrassgw {

void probe_schedule::set_routers(std::string own, std::vector<std::string> others) {
    own_ = std::move(own);
    others_ = std::move(others);
}

std::int64_t probe_schedule::turn_at(std::chrono::system_clock::time_point now) {
    return now.time_since_epoch() / turn_time;
}

bool probe_schedule::has_time_for_result(std::chrono::system_clock::time_point now) {
    return now.time_since_epoch() % turn_time <= turn_time - result_time;
}

bool probe_schedule::is_own_turn(const std::string& part, std::int64_t turn) const {
    const auto rank = [&](const std::string& router) {
        return std::pair(stable_hash(router + " " + part + " " + std::to_string(turn)), router);
    };
    const auto own_rank = rank(own_);
    return std::all_of(others_.begin(), others_.end(),
                       [&](const std::string& other) { return rank(other) <= own_rank; });
}

} // namespace eelgrassgw

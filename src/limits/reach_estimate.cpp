#include "limits/reach_estimate.h"

#include <algorithm>

namespace eelgrassgw {

void reach_estimate::note_asked(const std::string& address, time_point now) {
    questions_.push_back({address, now});
}

void reach_estimate::note_answered(const std::string& address) {
    const auto last = std::find_if(questions_.rbegin(), questions_.rend(),
                                   [&](const question& each) { return each.address == address; });
    if (last != questions_.rend()) {
        last->is_answered = true;
    }
}

double reach_estimate::share(time_point now) {
    while (!questions_.empty() && now - questions_.front().asked_at > window) {
        questions_.pop_front();
    }
    double asked = 0;
    double answered = 0;
    for (const question& each : questions_) {
        answered += each.is_answered ? 1 : 0;
        asked += each.is_answered || now - each.asked_at > answer_time ? 1 : 0;
    }
    return asked > 0 ? answered / asked : 1;
}

double share_of_limit(double reached_share, double fleet_size) {
    constexpr double max_excess = 1.5;
    const double reached_part = (1 + reached_share * (fleet_size - 1)) / fleet_size;
    return std::min(1.0, max_excess * reached_part);
}

} // namespace eelgrassgw

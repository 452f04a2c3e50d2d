#include "gateway/retry_advice.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortest_wait{800};
// A retry that comes sooner meets the same backlog at the servers.
constexpr milliseconds shortest_backlog{50};

constexpr milliseconds wait_at_start_of_outage{1500};

/// A caller waits for this part of its remaining time at most.
constexpr int time_left_divisor = 3;

} // namespace

milliseconds retry_after_store_outage(milliseconds outage, milliseconds time_left) {
    const milliseconds expected = wait_at_start_of_outage + 2 * outage;
    return std::max(shortest_wait, std::min(expected, time_left / time_left_divisor));
}

milliseconds retry_after_backlog(milliseconds backlog, milliseconds time_left) {
    return std::max(shortest_backlog, std::min(backlog, time_left / time_left_divisor));
}

} // namespace eelgrassgw

/// Tests the limit on retries.

#include "retries/retry_budget.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

constexpr retry_limits limits{0.2, 50, 10s};

int take_all(retry_budget& budget, retry_budget::clock::time_point now) {
    int n = 0;
    while (n < 1000 && budget.take_retry("s", now)) {
        ++n;
    }
    return n;
}

TEST(retry_budget, retries_of_all_routers_stay_within_the_fleets_limit) {
    constexpr int routers = 5;
    const auto now = retry_budget::clock::now();
    int taken = 0;
    for (int i = 0; i < routers; ++i) {
        retry_budget budget(limits);
        budget.set_router_count(routers);
        for (int k = 0; k < 20; ++k) {
            budget.record_request("s", now);
        }
        taken += take_all(budget, now);
    }
    EXPECT_LE(taken, 0.2 * routers * 20 + 50);
    EXPECT_GT(taken, 0);
}

TEST(retry_budget, retries_expire_after_the_window) {
    retry_budget budget(limits);
    const auto now = retry_budget::clock::now();
    EXPECT_GT(take_all(budget, now), 0);
    EXPECT_EQ(0, take_all(budget, now + 9s));
    EXPECT_GT(take_all(budget, now + 10s + 1ms), 0);
}

TEST(retry_budget, services_have_separate_budgets) {
    retry_budget budget(limits);
    const auto now = retry_budget::clock::now();
    take_all(budget, now);
    EXPECT_TRUE(budget.take_retry("other", now));
}

} // namespace
} // namespace eelgrassgw

#include "eelgrassgw/ledger/allowance_policy.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

grant_situation make_situation(tokens needed, tokens free, double rate) {
    grant_situation s;
    s.needed = needed;
    s.free = free;
    s.unspent = free;
    s.router_count = 4;
    s.spend_rate_per_second = rate;
    return s;
}

TEST(allowance_policy_test, request_for_more_than_the_free_tokens_is_not_granted) {
    EXPECT_EQ(demand_policy{}.grant_size(make_situation(101, 100, 0)), 0);
}

TEST(allowance_policy_test, grant_covers_at_least_the_needed_tokens) {
    EXPECT_GE(demand_policy{}.grant_size(make_situation(90, 100, 0)), 90);
}

TEST(allowance_policy_test, grant_covers_the_horizon_if_the_budget_allows_it) {
    EXPECT_EQ(demand_policy{}.grant_size(make_situation(10, 100000000, 2)), 7200);
}

TEST(allowance_policy_test, grant_is_at_most_the_share_of_an_equal_part) {
    EXPECT_EQ(demand_policy{}.grant_size(make_situation(10, 1000, 100)), 200);
}

TEST(allowance_policy_test, grant_never_exceeds_the_free_tokens) {
    grant_situation s = make_situation(10, 50, 100);
    s.unspent = 1000000;
    EXPECT_EQ(demand_policy{}.grant_size(s), 50);
}

} // namespace
} // namespace eelgrassgw

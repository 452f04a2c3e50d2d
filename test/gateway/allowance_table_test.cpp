/// Tests the allowances that a router holds of its customers' budgets.

#include "budgets/allowance_table.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class allowance_table_test : public ::testing::Test {
protected:
    allowance_change change(tokens unspent, int routers = 5) const {
        return table.wanted_change("c", unspent, routers, 0ms, now);
    }

    allowance_policy policy{500ms, 300ms, 0.5};
    allowance_table table{policy};
    allowance_table::clock::time_point now = allowance_table::clock::now();
};

TEST_F(allowance_table_test, reservation_beyond_the_allowance_fails) {
    table.add("c", 100);
    EXPECT_FALSE(table.reserve("c", 101));
    EXPECT_EQ(100, table.available("c"));
}

TEST_F(allowance_table_test, unused_part_of_a_reservation_becomes_available) {
    table.add("c", 100);
    ASSERT_TRUE(table.reserve("c", 80));
    table.settle("c", 80, 30);
    EXPECT_EQ(70, table.available("c"));
    EXPECT_EQ(0, table.reserved("c"));
}

TEST_F(allowance_table_test, waiting_request_makes_a_write_due) {
    table.add_waiting_tokens("c", 1000);
    EXPECT_EQ(1000, change(1000000).amount);
    EXPECT_TRUE(change(1000000).is_due);
}

TEST_F(allowance_table_test, grant_never_exceeds_the_unspent_budget) {
    table.add_waiting_tokens("c", 1000);
    EXPECT_EQ(400, change(400).amount);
}

TEST_F(allowance_table_test, reduced_budget_never_causes_a_negative_grant) {
    table.add_waiting_tokens("c", 1000);
    EXPECT_EQ(0, change(-5000).amount);
}

TEST_F(allowance_table_test, reduced_budget_returns_unreserved_tokens) {
    table.add("c", 300);
    table.record_demand("c", 10000, now);
    EXPECT_EQ(-300, change(-5000).amount);
}

TEST_F(allowance_table_test, idle_allowance_is_returned) {
    table.add("c", 100000);
    EXPECT_LT(change(1000000).amount, 0);
    EXPECT_TRUE(change(1000000).is_due);
}

TEST_F(allowance_table_test, all_routers_together_hold_at_most_their_share_of_the_unspent_budget) {
    constexpr int routers = 10;
    table.record_demand("c", 10000000, now);
    EXPECT_LE(change(1000, routers).amount * routers, 500);
}

TEST_F(allowance_table_test, demand_decays_over_time) {
    table.record_demand("c", 100000, now);
    const tokens initial_amount = change(10000000).amount;
    now += 10s;
    EXPECT_LT(change(10000000).amount, initial_amount / 10);
}

TEST_F(allowance_table_test, half_full_allowance_is_not_worth_its_own_write) {
    table.record_demand("c", 4000, now); // The demand is 2 tokens per millisecond, so the target is 1000.
    table.add("c", 600);
    EXPECT_EQ(400, change(10000000).amount);
    EXPECT_FALSE(change(10000000).is_due);
}

TEST_F(allowance_table_test, refill_is_due_before_the_allowance_would_run_out_during_a_slow_write) {
    table.record_demand("c", 4000, now); // The demand is 2 tokens per millisecond, so the target is 2000.
    table.add("c", 900);                 // The allowance lasts 450 ms, but a write takes 500 ms.
    EXPECT_TRUE(table.wanted_change("c", 10000000, 1, 500ms, now).is_due);
    EXPECT_TRUE(table.runs_low("c", 500ms, now));
}

TEST_F(allowance_table_test, small_allowance_is_not_refilled_continuously) {
    table.record_demand("c", 4000, now);
    table.add("c", 160);
    const allowance_change wanted = table.wanted_change("c", 400, 1, 500ms, now);
    EXPECT_EQ(40, wanted.amount);
    EXPECT_FALSE(wanted.is_due);
}

} // namespace
} // namespace eelgrassgw

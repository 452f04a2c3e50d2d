/// Tests the allowances that a router holds of its customers' budgets.

#include "budgets/allowance_table.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class allowance_table_test : public ::testing::Test {
protected:
    allowance_change change(tokens unspent, int routers = 5) const {
        return table.wanted_change("c", unspent, routers, 0ms, now);
    }

    static constexpr tokens never_scarce = 0;

    allowance_policy policy{500ms, 300ms, 0.5, never_scarce};
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

/// A budget with little left, of which the parts that routers hold in advance would cover no request.
class scarce_budget_test : public ::testing::Test {
protected:
    static constexpr tokens scarce_tokens = 12000;
    static constexpr int routers = 27;

    allowance_change change(tokens unspent) const {
        return table.wanted_change("c", unspent, routers, 0ms, now);
    }

    allowance_table table{allowance_policy{700ms, 300ms, 0.5, scarce_tokens}};
    allowance_table::clock::time_point now = allowance_table::clock::now();
};

TEST_F(scarce_budget_test, nothing_is_taken_in_advance) {
    table.record_demand("c", 100000, now);
    EXPECT_GT(change(scarce_tokens * routers).amount, 0);
    EXPECT_EQ(0, change(scarce_tokens * routers - 1).amount);
}

TEST_F(scarce_budget_test, what_no_request_needs_is_returned_at_once) {
    table.record_demand("c", 100000, now);
    table.add("c", 1500);
    EXPECT_EQ(-1500, change(1000).amount);
    EXPECT_TRUE(change(1000).is_due);
}

TEST_F(scarce_budget_test, waiting_request_takes_what_it_needs_and_no_more) {
    table.add("c", 1500);
    table.add_waiting_tokens("c", 9000);
    EXPECT_EQ(7500, change(20000).amount);
    EXPECT_TRUE(change(20000).is_due);
}

TEST_F(scarce_budget_test, rest_that_does_not_cover_the_waiting_request_is_taken_whole) {
    table.add_waiting_tokens("c", 9000);
    EXPECT_EQ(400, change(400).amount);
}

/// Plays the end of a budget: 27 routers share what is left, and requests arrive at random routers. Returns
/// how many of the requests, of 8000 tokens each, are served.
int play_end_of_budget(tokens scarce_tokens_per_router) {
    constexpr int routers = 27;
    constexpr tokens prepaid = 800000;
    constexpr tokens request_tokens = 8000;
    auto now = allowance_table::clock::now();
    std::vector<allowance_table> tables(
        routers, allowance_table(allowance_policy{700ms, 300ms, 0.5, scarce_tokens_per_router}));
    std::mt19937 random(7);
    tokens unspent = prepaid;
    int served = 0;
    const auto write = [&](allowance_table& table) {
        const allowance_change change = table.wanted_change("c", unspent, routers, 50ms, now);
        table.add("c", change.amount);
        unspent -= change.amount;
    };
    for (int i = 0; i < 400; ++i) {
        now += 40ms;
        allowance_table& table = tables[random() % routers];
        table.record_demand("c", request_tokens, now);
        if (table.available("c") < request_tokens) {
            table.add_waiting_tokens("c", request_tokens);
            write(table);
            table.add_waiting_tokens("c", -request_tokens);
        }
        if (table.reserve("c", request_tokens)) {
            table.settle("c", request_tokens, request_tokens);
            ++served;
        }
        for (allowance_table& each : tables) {
            const allowance_change change = each.wanted_change("c", unspent, routers, 50ms, now);
            if (change.is_due) {
                write(each);
            }
        }
    }
    return served;
}

TEST(end_of_budget_test, customer_is_served_until_hardly_any_token_is_left) {
    constexpr int covered_requests = 100;
    EXPECT_GE(play_end_of_budget(12000), covered_requests - 1);
    EXPECT_LT(play_end_of_budget(0), covered_requests - 1) << "the load does not need the rule";
}

// Guards against a report that calls tokens lost which callers have been sent an answer for, or that leaves
// out what waits in the allowance.
TEST(held_tokens, crash_loses_the_allowance_and_what_running_requests_have_not_consumed) {
    allowance_table table{allowance_policy{}};
    table.add("a", 1000);
    table.add("b", 500);
    ASSERT_TRUE(table.reserve("a", 600));
    ASSERT_TRUE(table.reserve("b", 200));
    table.add_consumed_tokens("a", 450);
    held_tokens held = table.total();
    EXPECT_EQ(1500, held.taken);
    EXPECT_EQ(700, held.available);
    EXPECT_EQ(800, held.reserved);
    EXPECT_EQ(700 + 150 + 200, held.lost());

    table.add_consumed_tokens("a", -450);
    table.settle("a", 600, 480);
    held = table.total();
    EXPECT_EQ(1500, held.taken);
    EXPECT_EQ(480, held.charged);
    EXPECT_EQ(0, held.consumed);
    EXPECT_EQ(1020, held.lost());
}

} // namespace
} // namespace eelgrassgw

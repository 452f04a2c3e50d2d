/// Tests the decision how many requests a server with a limit gets, without a network.

#include "limits/reach_estimate.h"
#include "limits/request_limit.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

class request_limit_test : public ::testing::Test {
protected:
    /// Sends requests whenever there is room and returns their number.
    int send_for(milliseconds time) {
        int sent = 0;
        for (milliseconds passed{0}; passed < time; passed += 10ms) {
            now += 10ms;
            if (limit.has_room(now)) {
                limit.take(now);
                ++sent;
            }
        }
        return sent;
    }

    request_limit::time_point now = request_limit::time_point{} + 1h;
    request_limit limit;
};

TEST_F(request_limit_test, server_that_names_no_limit_always_has_room) {
    EXPECT_FALSE(limit.note_answer(std::nullopt, now));
    EXPECT_FALSE(limit.is_in_force());
    EXPECT_EQ(100, send_for(1s));
}

TEST_F(request_limit_test, requests_keep_to_the_rate) {
    EXPECT_TRUE(limit.note_answer(2.5, now));
    EXPECT_NEAR(25, send_for(10s), 1);
}

TEST_F(request_limit_test, rate_may_be_a_fraction_of_a_request_a_second) {
    limit.note_answer(0.2, now);
    EXPECT_EQ(0, send_for(4s));
    EXPECT_EQ(1, send_for(2s));
    EXPECT_NEAR(4, send_for(20s), 1);
}

TEST_F(request_limit_test, idle_time_allows_no_long_burst) {
    limit.note_answer(5, now);
    now += 1min;
    EXPECT_LE(send_for(100ms), 5);
}

TEST_F(request_limit_test, server_that_takes_no_requests_gets_one_now_and_then) {
    limit.note_answer(0, now);
    EXPECT_EQ(0, send_for(15s));
    EXPECT_EQ(1, send_for(10s));
}

TEST_F(request_limit_test, later_answer_changes_the_limit_or_ends_it) {
    limit.note_answer(2, now);
    EXPECT_FALSE(limit.note_answer(2, now));
    EXPECT_TRUE(limit.note_answer(10, now));
    EXPECT_NEAR(100, send_for(10s), 1);
    EXPECT_TRUE(limit.note_answer(std::nullopt, now));
    EXPECT_EQ(100, send_for(1s));
}

TEST_F(request_limit_test, time_until_room_is_the_time_in_which_the_rate_allows_a_request) {
    limit.note_answer(2, now);
    EXPECT_EQ(500ms, limit.time_until_room(now));
    now += 200ms;
    EXPECT_EQ(300ms, limit.time_until_room(now));
    now += 300ms;
    EXPECT_EQ(0ms, limit.time_until_room(now));
    EXPECT_TRUE(limit.has_room(now));
}

TEST_F(request_limit_test, request_that_was_not_sent_is_given_back) {
    limit.note_answer(1, now);
    now += 1s;
    limit.take(now);
    EXPECT_FALSE(limit.has_room(now));
    limit.give_back(now);
    EXPECT_TRUE(limit.has_room(now));
}

TEST_F(request_limit_test, requests_of_other_routers_count) {
    limit.note_answer(1, now);
    now += 1s;
    request_limit other;
    other.note_view(limit.view(now), 0, now);
    other.take(now);
    EXPECT_FALSE(limit.note_view(other.view(now), 1, now));
    EXPECT_FALSE(limit.has_room(now));
    EXPECT_EQ(other.time_until_room(now), limit.time_until_room(now));
}

TEST_F(request_limit_test, requests_of_two_routers_at_the_same_moment_are_made_up_for) {
    limit.note_answer(1, now);
    now += 1s;
    request_limit other;
    other.note_view(limit.view(now), 0, now);
    limit.take(now);
    other.take(now);
    limit.note_view(other.view(now), 1, now);
    EXPECT_EQ(2000ms, limit.time_until_room(now));
}

TEST_F(request_limit_test, router_that_missed_notices_adopts_the_lower_allowance) {
    limit.note_answer(1, now);
    now += 1s;
    request_limit other;
    other.note_view(limit.view(now), 0, now);
    other.take(now);
    other.take(now);
    other.take(now);
    limit.note_view(other.view(now), 1, now);
    EXPECT_EQ(other.time_until_room(now), limit.time_until_room(now));
}

TEST_F(request_limit_test, many_views_of_the_same_allowance_do_not_lower_it) {
    limit.note_answer(2, now);
    request_limit other;
    for (int i = 0; i < 100; ++i) {
        const request_limit_view sent = limit.view(now);
        now += 5ms; // The time that a notice takes.
        other.note_view(sent, 0, now);
        limit.note_view(other.view(now), 0, now);
    }
    EXPECT_TRUE(limit.has_room(now));
    EXPECT_TRUE(other.has_room(now + 50ms));
}

TEST_F(request_limit_test, debt_is_bounded) {
    limit.note_answer(1, now);
    limit.note_view({1.0, 0ms, -1e300}, 1000, now);
    EXPECT_LE(limit.time_until_room(now), 10s);
}

TEST_F(request_limit_test, later_statement_holds_whichever_router_has_it) {
    limit.note_answer(2, now);
    now += 1s;
    EXPECT_FALSE(limit.note_view({std::nullopt, 500ms, 0}, 0, now));
    EXPECT_FALSE(limit.is_in_force());
    EXPECT_TRUE(limit.note_view({2.0, 900ms, 1}, 0, now)) << "the other router missed the end";
    EXPECT_FALSE(limit.is_in_force());
    EXPECT_FALSE(limit.note_view({3.0, 100ms, 1}, 0, now));
    EXPECT_EQ(3.0, limit.rate());
}

TEST_F(request_limit_test, router_that_reaches_a_part_of_the_others_uses_a_part_of_the_rate) {
    limit.note_answer(4, now);
    limit.set_share(0.75, now);
    EXPECT_NEAR(30, send_for(10s), 1);
}

TEST(share_of_limit, routers_that_cannot_reach_each_other_exceed_the_rate_by_half_at_most) {
    for (const double fleet_size : {2.0, 3.0, 4.0, 27.0, 350.0}) {
        for (double part = 1; part < fleet_size; ++part) {
            const double reached = (part - 1) / (fleet_size - 1);
            const double reached_by_others = (fleet_size - part - 1) / (fleet_size - 1);
            EXPECT_LE(share_of_limit(reached, fleet_size) + share_of_limit(reached_by_others, fleet_size),
                      1.5 + 1e-9);
        }
        EXPECT_EQ(1.0, share_of_limit(1, fleet_size));
    }
    EXPECT_EQ(1.0, share_of_limit(1, 1));
}

TEST(reach_estimate, routers_that_do_not_answer_count_as_unreachable) {
    auto now = reach_estimate::time_point{} + 1h;
    reach_estimate reach;
    EXPECT_EQ(1.0, reach.share(now));
    reach.note_asked("a", now);
    reach.note_asked("b", now);
    EXPECT_EQ(1.0, reach.share(now)) << "there was no time to answer";
    reach.note_answered("a");
    now += reach_estimate::answer_time + 1ms;
    EXPECT_EQ(0.5, reach.share(now));
    now += reach_estimate::window;
    EXPECT_EQ(1.0, reach.share(now));
}

} // namespace
} // namespace eelgrassgw

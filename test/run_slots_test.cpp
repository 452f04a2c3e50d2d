#include "eelgrassgw/agent/run_slots.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

run make_run(std::chrono::milliseconds deadline) {
    ticket t;
    t.deadline = deadline;
    return run(t);
}

TEST(run_slots_test, full_queue_is_refused) {
    run_slots slots(1, 1);
    EXPECT_TRUE(slots.enter_queue());
    EXPECT_TRUE(slots.enter_queue());
    EXPECT_FALSE(slots.enter_queue());
}

TEST(run_slots_test, place_given_up_is_free_again) {
    run_slots slots(1, 0);
    ASSERT_TRUE(slots.enter_queue());
    slots.leave_queue();
    EXPECT_TRUE(slots.enter_queue());
}

TEST(run_slots_test, waiter_whose_deadline_passes_gets_no_slot) {
    run_slots slots(1, 1);
    run first = make_run(std::chrono::hours(1));
    run second = make_run(std::chrono::milliseconds(0));
    ASSERT_TRUE(slots.enter_queue());
    ASSERT_TRUE(slots.wait_for_slot(first));
    ASSERT_TRUE(slots.enter_queue());
    EXPECT_FALSE(slots.wait_for_slot(second));
    EXPECT_EQ(slots.queued(), 0);
}

TEST(run_slots_test, each_refused_caller_is_given_a_later_time) {
    run_slots slots(1, 0);
    const steady_time now{};
    const std::chrono::milliseconds first = slots.reserve_retry_delay(now);
    EXPECT_LT(first, slots.reserve_retry_delay(now));
}

TEST(run_slots_test, lowered_limit_counts_for_the_next_ticket) {
    run_slots slots(2, 0);
    slots.set_max_running(1);
    ASSERT_TRUE(slots.enter_queue());
    EXPECT_FALSE(slots.enter_queue());
}

TEST(run_slots_test, limit_is_never_raised_beyond_the_agents_own) {
    run_slots slots(1, 0);
    slots.set_max_running(5);
    ASSERT_TRUE(slots.enter_queue());
    EXPECT_FALSE(slots.enter_queue());
}

} // namespace
} // namespace eelgrassgw

#include "eelgrassgw/agent/run_slots.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

run make_run(std::chrono::milliseconds deadline) {
    ticket t;
    t.deadline = deadline;
    return run(t);
}

TEST(run_slots_test, full_queue_refuses_another_run) {
    run_slots slots(1, 1);
    EXPECT_TRUE(slots.enter_queue());
    EXPECT_TRUE(slots.enter_queue());
    EXPECT_FALSE(slots.enter_queue());
}

TEST(run_slots_test, released_place_is_free_again) {
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

TEST(run_slots_test, each_refused_caller_gets_a_longer_delay) {
    run_slots slots(1, 0);
    const steady_time now{};
    const std::chrono::milliseconds first = slots.reserve_retry_delay(now);
    EXPECT_LT(first, slots.reserve_retry_delay(now));
}

TEST(run_slots_test, lowered_limit_applies_to_the_next_ticket) {
    run_slots slots(2, 0);
    slots.set_max_running(1);
    ASSERT_TRUE(slots.enter_queue());
    EXPECT_FALSE(slots.enter_queue());
}

TEST(run_slots_test, limit_never_exceeds_that_of_the_constructor) {
    run_slots slots(1, 0);
    slots.set_max_running(5);
    ASSERT_TRUE(slots.enter_queue());
    EXPECT_FALSE(slots.enter_queue());
}

} // namespace
} // namespace eelgrassgw

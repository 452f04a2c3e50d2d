/// Tests when a process counts as full and when processor time counts as short, and how long events wait.

#include "overload/event_coalescing.h"
#include "overload/headroom.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

resource_use use_of_processor(double part) {
    resource_use use;
    use[resource_kind::processor] = part;
    return use;
}

void note_times(headroom& state, double part, int times) {
    for (int i = 0; i < times; ++i) {
        state.note(use_of_processor(part));
    }
}

/// Guards against reactions to a single burst, such as the parse of one large document.
TEST(headroom_test, single_busy_measurement_makes_no_process_full) {
    headroom state;
    EXPECT_FALSE(state.note(use_of_processor(1)));
    EXPECT_FALSE(state.is_full());
    EXPECT_TRUE(state.note(use_of_processor(1)));
    EXPECT_TRUE(state.is_full());
    EXPECT_EQ(resource_kind::processor, state.fullest());
}

/// Guards against a state that changes at every measurement while the use stays near a threshold.
TEST(headroom_test, use_near_the_threshold_changes_the_state_once) {
    headroom state;
    note_times(state, 1, 4);
    int changes = 0;
    for (int i = 0; i < 40; ++i) {
        changes += state.note(use_of_processor(i % 2 == 0 ? 0.82 : 0.98)) ? 1 : 0;
    }
    EXPECT_EQ(0, changes);
    note_times(state, 0.5, 4);
    EXPECT_FALSE(state.is_full());
}

TEST(headroom_test, any_resource_can_be_the_full_one) {
    headroom state;
    resource_use use = use_of_processor(0.2);
    use[resource_kind::descriptors] = 1;
    state.note(use);
    EXPECT_TRUE(state.note(use));
    EXPECT_STREQ("descriptors", name_of(state.fullest()));
    EXPECT_FALSE(state.is_processor_short());
}

/// Guards against coalescing that ends because it has halved the use, and begins again.
TEST(headroom_test, processor_stays_short_at_half_of_the_use_that_made_it_so) {
    headroom state;
    note_times(state, 0.75, 4);
    EXPECT_TRUE(state.is_processor_short());
    note_times(state, 0.375, 20);
    EXPECT_TRUE(state.is_processor_short());
    note_times(state, 0.1, 4);
    EXPECT_FALSE(state.is_processor_short());
}

TEST(headroom_test, resources_that_are_not_stated_never_become_full) {
    headroom state;
    note_times(state, 0, 10);
    EXPECT_FALSE(state.is_full());
    EXPECT_FALSE(state.is_processor_short());
}

/// Guards against waits that use up the time an event may spend in the router.
TEST(event_coalescing_test, events_wait_for_a_fifth_of_their_limit_and_at_most_40_ms) {
    EXPECT_EQ(0ms, coalescing_window(0ms));
    EXPECT_EQ(20ms, coalescing_window(100ms));
    EXPECT_EQ(40ms, coalescing_window(200ms));
    EXPECT_EQ(40ms, coalescing_window(5000ms));
}

/// Guards against a wake-up of its own for each of many streams.
TEST(event_coalescing_test, streams_are_read_at_common_times_within_the_window) {
    const auto start = std::chrono::steady_clock::time_point(1000s);
    for (auto offset = 0us; offset < 100ms; offset += 700us) {
        const auto next = next_read_time(start + offset, 40ms);
        EXPECT_GT(next, start + offset + 30ms);
        EXPECT_LE(next, start + offset + 40ms);
        EXPECT_EQ(0ms, next.time_since_epoch() % 10ms);
    }
}

} // namespace
} // namespace eelgrassgw

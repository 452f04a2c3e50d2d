/// Tests which connection loses its place when a process has no more room. Guards against the loss of
/// ordinary requests to a crowd that holds most of the room.

#include "intake/intake_guard.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t mb = 1U << 20U;

class intake_ledger_test : public ::testing::Test {
protected:
    /// Adds a connection whose request began to arrive at `since` and holds this many bytes.
    intake_ledger::place_id add_reading(std::size_t held, intake_ledger::clock::time_point since) {
        const auto id = ledger.add(place_kind::caller, since);
        ledger.set_state(id, place_state::reading, held, since);
        ledger.note_progress(id, held, since);
        return id;
    }
    /// Adds a connection that sends an answer since `since`.
    intake_ledger::place_id add_sending(std::size_t held, intake_ledger::clock::time_point since) {
        const auto id = ledger.add(place_kind::caller, since);
        ledger.set_state(id, place_state::sending, held, since);
        return id;
    }

    const intake_ledger::clock::time_point start{1h};
    intake_ledger ledger{{10 * mb, 10}};
};

TEST_F(intake_ledger_test, nothing_is_closed_within_the_limit) {
    add_reading(9 * mb, start);
    EXPECT_FALSE(ledger.choose_for_memory(start + 1h).has_value());
}

TEST_F(intake_ledger_test, stalled_body_loses_to_one_that_arrives) {
    const auto arriving = add_reading(6 * mb, start);
    const auto stalled = add_reading(6 * mb, start);
    ledger.note_progress(arriving, 1000, start + 5s);
    EXPECT_EQ(stalled, ledger.choose_for_memory(start + 5s));
}

TEST_F(intake_ledger_test, newcomer_does_not_lose_to_a_body_that_stalls) {
    const auto stalled = add_reading(6 * mb, start);
    add_reading(6 * mb, start + 5s);
    EXPECT_EQ(stalled, ledger.choose_for_memory(start + 5s));
}

TEST_F(intake_ledger_test, small_body_without_progress_does_not_lose_to_a_crowd_of_large_ones) {
    const auto small = add_reading(100000, start);
    for (int i = 0; i < 6; ++i) {
        ledger.note_progress(add_reading(2 * mb, start), 1000, start + 5s);
    }
    ASSERT_TRUE(ledger.choose_for_memory(start + 5s).has_value());
    EXPECT_NE(small, ledger.choose_for_memory(start + 5s));
}

TEST_F(intake_ledger_test, small_request_fits_where_large_ones_fill_the_limit) {
    const auto large = add_sending(10 * mb, start);
    const auto small = ledger.add(place_kind::caller, start);
    ledger.set_state(small, place_state::serving, 1000, start);
    EXPECT_TRUE(ledger.fits(small));
    EXPECT_FALSE(ledger.fits(large));
}

TEST_F(intake_ledger_test, answer_loses_its_place_only_once_it_is_stalled) {
    const auto sending = add_sending(12 * mb, start);
    EXPECT_FALSE(ledger.choose_for_memory(start + 500ms).has_value());
    EXPECT_EQ(sending, ledger.choose_for_memory(start + 1s));
}

TEST_F(intake_ledger_test, request_that_is_served_never_loses_its_place) {
    ledger.set_state(ledger.add(place_kind::caller, start), place_state::serving, 12 * mb, start);
    EXPECT_FALSE(ledger.choose_for_memory(start + 1h).has_value());
}

TEST_F(intake_ledger_test, longest_idle_connection_makes_room_for_a_new_one) {
    const auto longest = ledger.add(place_kind::caller, start);
    for (int i = 0; i < 9; ++i) {
        ledger.add(place_kind::caller, start + 1s);
    }
    EXPECT_EQ(longest, ledger.choose_for_connection(place_kind::caller, 0, start + 2s));
    ledger.set_state(longest, place_state::closing, 0, start + 2s);
    ledger.remove(longest);
    EXPECT_EQ(9U, ledger.connections());
}

TEST_F(intake_ledger_test, full_of_served_requests_is_no_room_for_callers_but_for_control) {
    for (int i = 0; i < 5; ++i) {
        ledger.set_state(ledger.add(place_kind::caller, start), place_state::serving, 0, start);
    }
    EXPECT_FALSE(ledger.has_room_for_connection(place_kind::caller, 0));
    EXPECT_FALSE(ledger.choose_for_connection(place_kind::caller, 0, start + 1h).has_value());
    EXPECT_TRUE(ledger.has_room_for_connection(place_kind::control, 0));
}

TEST_F(intake_ledger_test, bytes_return_to_zero) {
    const auto id = add_reading(mb, start);
    ledger.set_state(id, place_state::serving, 2 * mb, start);
    ledger.set_state(id, place_state::idle, 0, start);
    EXPECT_EQ(intake_ledger::connection_bytes, ledger.bytes());
    ledger.remove(id);
    EXPECT_EQ(0U, ledger.bytes());
}

TEST(intake_limits_test, limits_follow_from_the_settings) {
    vm_resources smallest;
    smallest.memory_mb = 120;
    smallest.max_descriptors = 3075;
    EXPECT_EQ(45 * mb, derive_intake_limits(smallest).max_bytes);
    EXPECT_EQ(2875U, derive_intake_limits(smallest).max_connections);
    EXPECT_EQ(96 * mb, derive_intake_limits({}).max_bytes);
}

} // namespace
} // namespace eelgrassgw

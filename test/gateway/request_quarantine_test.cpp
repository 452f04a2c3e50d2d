/// Tests the decision which requests are in quarantine, without a network.

#include "quarantine/request_fingerprint.h"
#include "router_view.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

using part_list = std::vector<std::string>;

/// Returns the parts of a request with this path and these details.
part_list plain_request(const std::string& path, const std::string& details = "") {
    return fingerprints_of({"GET", "a.example", path, "acme", "body", details});
}

/// Returns the parts of a request with a prompt. Requests with the same shared parts differ in their path.
part_list prompt_request(const std::string& path, part_list shared_parts) {
    const part_list fingerprints = plain_request(path, shared_parts.back());
    shared_parts.insert(shared_parts.end(), fingerprints.begin(), fingerprints.end());
    return shared_parts;
}

const part_list deadly = plain_request("/deadly");
const part_list sound = plain_request("/sound");

class request_quarantine_test : public ::testing::Test {
protected:
    void advance(milliseconds time) {
        now.steady += time;
        now.wall += time;
    }

    void advance_to_next_turn() {
        const auto since_begin = now.wall.time_since_epoch() % probe_schedule::turn_time;
        advance(std::chrono::floor<std::chrono::milliseconds>(probe_schedule::turn_time - since_begin));
    }

    /// Has a server crash under these requests, of which no router had seen a byte of the answer.
    void crash(const std::vector<part_list>& requests) { crash_at(router, requests); }

    void crash_at(router_view& view, const std::vector<part_list>& requests) {
        std::vector<interrupted_request> interrupted;
        interrupted.reserve(requests.size());
        for (const part_list& each : requests) {
            interrupted.push_back({each, false, 0ms});
        }
        view.quarantine.note_crash("s" + std::to_string(++crashes), interrupted, now);
    }

    /// A request begins to be answered and is answered.
    void answer(const part_list& parts) {
        advance(10ms);
        const auto began_at = now.steady;
        advance(20ms);
        router.quarantine.note_answer(parts, began_at, now);
    }

    /// Has servers crash under these requests, with other requests answered in between.
    void crash_in_turn(int times, const std::vector<part_list>& requests) {
        for (int i = 0; i < times; ++i) {
            crash(requests);
            answer(plain_request("/other"));
            advance(1s);
        }
    }

    /// A turn of the probes begins at this time.
    clock_reading now{std::chrono::steady_clock::time_point(1h),
                      std::chrono::system_clock::time_point(480'000h)};
    router_view router;
    int crashes = 0;
};

TEST_F(request_quarantine_test, request_that_crashes_three_servers_in_a_row_is_in_quarantine) {
    crash_in_turn(2, {deadly});
    EXPECT_FALSE(router.rejects(deadly, now));
    crash({deadly});
    EXPECT_TRUE(router.rejects(deadly, now));
    const auto found = router.quarantine.find_quarantined(deadly, now);
    ASSERT_TRUE(found.has_value());
    EXPECT_FALSE(found->may_be_probed);
    EXPECT_EQ(1U, router.quarantine.quarantined_request_count());
    EXPECT_EQ(0U, router.quarantine.quarantined_prompt_part_count());
}

TEST_F(request_quarantine_test, requests_that_ran_beside_it_once_are_served) {
    for (int i = 0; i < 3; ++i) {
        crash({deadly, plain_request("/sound/" + std::to_string(i))});
        answer(plain_request("/other"));
        advance(1s);
    }
    EXPECT_TRUE(router.rejects(deadly, now));
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(router.rejects(plain_request("/sound/" + std::to_string(i)), now));
    }
}

TEST_F(request_quarantine_test, request_that_ran_beside_it_each_time_is_released_by_a_probe) {
    crash_in_turn(3, {deadly, sound});
    EXPECT_TRUE(router.rejects(sound, now));
    EXPECT_TRUE(router.rejects(deadly, now));
    router.quarantine.set_routers("self", {});
    advance(2s);
    advance_to_next_turn();
    EXPECT_TRUE(router.quarantine.take_probe(sound, now));
    answer(sound);
    EXPECT_FALSE(router.rejects(sound, now));
    EXPECT_TRUE(router.rejects(deadly, now));
}

TEST_F(request_quarantine_test, further_crash_under_one_of_them_releases_the_other) {
    crash_in_turn(3, {deadly, sound});
    crash({deadly});
    EXPECT_TRUE(router.rejects(deadly, now));
    EXPECT_FALSE(router.rejects(sound, now));
}

TEST_F(request_quarantine_test, request_that_is_answered_after_each_crash_is_never_in_quarantine) {
    for (int i = 0; i < 50; ++i) {
        crash({sound});
        answer(sound);
        advance(1s);
    }
    EXPECT_FALSE(router.rejects(sound, now));
}

TEST_F(request_quarantine_test, only_a_whole_answer_speaks_for_a_request) {
    for (int i = 0; i < 3; ++i) {
        const auto began_at = now.steady;
        advance(milliseconds(400 + 1000 * i)); // Each run writes for longer than the one before.
        router.quarantine.note_progress(deadly, began_at, now);
        crash({deadly});
        answer(plain_request("/other"));
    }
    EXPECT_TRUE(router.rejects(deadly, now));
}

TEST_F(request_quarantine_test, request_that_was_answered_before_needs_more_crashes) {
    answer(sound);
    crash_in_turn(4, {sound});
    EXPECT_FALSE(router.rejects(sound, now));
    crash({sound});
    EXPECT_TRUE(router.rejects(sound, now));
}

TEST_F(request_quarantine_test, crashes_at_one_moment_may_be_an_outage_and_are_probed) {
    router.quarantine.set_routers("self", {});
    for (int i = 0; i < 4; ++i) {
        crash({deadly});
        advance(20ms);
    }
    EXPECT_FALSE(router.rejects(deadly, now));
    advance(part_suspicion::settling_time);
    EXPECT_TRUE(router.rejects(deadly, now));
    advance_to_next_turn();
    EXPECT_TRUE(router.quarantine.take_probe(deadly, now));
    EXPECT_FALSE(router.quarantine.take_probe(deadly, now)) << "one request finds out";
}

TEST_F(request_quarantine_test, probe_begins_only_if_its_result_is_known_before_the_next_turn) {
    router.quarantine.set_routers("self", {});
    crash({deadly});
    crash({deadly});
    crash({deadly});
    advance(part_suspicion::settling_time);
    advance_to_next_turn();
    advance(probe_schedule::turn_time - probe_schedule::result_time + 1ms);
    EXPECT_FALSE(router.quarantine.take_probe(deadly, now));
    advance_to_next_turn();
    EXPECT_TRUE(router.quarantine.take_probe(deadly, now));
}

TEST_F(request_quarantine_test, probes_of_a_deadly_request_end_after_few) {
    router.quarantine.set_routers("self", {});
    for (int i = 0; i < 3; ++i) {
        crash({deadly});
    }
    advance(part_suspicion::settling_time);
    int probes = 0;
    for (int i = 0; i < 600; ++i) {
        advance(100ms);
        if (!router.rejects(deadly, now) || router.quarantine.take_probe(deadly, now)) {
            ++probes;
            crash({deadly});
        }
    }
    EXPECT_LE(probes, 3);
}

TEST_F(request_quarantine_test, repetitions_may_differ_in_their_details) {
    for (int i = 0; i < 3; ++i) {
        crash({plain_request("/deadly", "?q=" + std::to_string(i))});
        answer(plain_request("/other"));
        advance(1s);
    }
    EXPECT_TRUE(router.rejects(plain_request("/deadly", "?q=9"), now));
    EXPECT_TRUE(router.rejects(deadly, now));
}

TEST_F(request_quarantine_test,
       requests_with_other_details_are_served_if_the_deadly_one_always_had_the_same) {
    crash_in_turn(3, {plain_request("/search", "?q=deadly")});
    EXPECT_TRUE(router.rejects(plain_request("/search", "?q=deadly"), now));
    EXPECT_FALSE(router.rejects(plain_request("/search", "?q=sound"), now));
    answer(plain_request("/search", "?q=sound"));
    EXPECT_TRUE(router.rejects(plain_request("/search", "?q=deadly"), now));
}

TEST_F(request_quarantine_test, prompt_parts_of_a_deadly_request_are_served_in_other_requests) {
    const part_list with_prompt = prompt_request("/ask/deadly", {"first", "session"});
    crash_in_turn(3, {with_prompt});
    EXPECT_TRUE(router.rejects(with_prompt, now));
    const part_list other = prompt_request("/ask/other", {"first", "session"});
    EXPECT_FALSE(router.rejects(other, now));
    answer(other);
    EXPECT_TRUE(router.rejects(with_prompt, now));
}

TEST_F(request_quarantine_test, deadly_part_of_several_requests_is_found_although_each_of_them_is_suspect) {
    for (int request = 0; request < 2; ++request) {
        for (int i = 0; i < 3; ++i) { // Each request is sent to three servers.
            router.quarantine.note_crash(
                "s" + std::to_string(++crashes),
                {{prompt_request("/ask/" + std::to_string(request), {"first", "dead"}), true, 0ms}}, now);
            answer(prompt_request("/ask/other", {"first", "session"}));
            advance(1s);
        }
    }
    EXPECT_TRUE(router.rejects(prompt_request("/ask/new", {"first", "dead"}), now));
    EXPECT_FALSE(router.rejects(prompt_request("/ask/new", {"first", "session"}), now));
    EXPECT_EQ(1U, router.quarantine.quarantined_prompt_part_count());
}

TEST_F(request_quarantine_test, crashes_that_several_routers_saw_add_up) {
    for (int i = 0; i < 3; ++i) {
        router_view other;
        crash_at(other, {deadly});
        advance(part_quarantine::notice_delay);
        router.quarantine.merge(other.quarantine.take_notices(now), now);
        advance(2s);
    }
    advance(part_suspicion::settling_time);
    EXPECT_TRUE(router.rejects(deadly, now));
}

TEST_F(request_quarantine_test, evidence_survives_the_way_through_the_store) {
    const part_list with_prompt = prompt_request("/ask/deadly", {"first", "session"});
    crash_in_turn(3, {with_prompt});
    const auto update = router.quarantine.plan_store_update({}, now);
    ASSERT_TRUE(update.has_value());
    const auto stored = parse_evidence(to_json(*update));
    ASSERT_TRUE(stored.ok());
    router_view restarted;
    restarted.quarantine.merge(stored.value(), now);
    EXPECT_TRUE(restarted.rejects(with_prompt, now));
    EXPECT_FALSE(restarted.rejects(prompt_request("/ask/other", {"first", "session"}), now));
}

TEST_F(request_quarantine_test, store_gets_no_request_that_was_interrupted_once) {
    for (int i = 0; i < 200; ++i) {
        crash({plain_request("/book/" + std::to_string(i))});
    }
    advance(10s);
    EXPECT_FALSE(router.quarantine.plan_store_update({}, now).has_value());
}

TEST_F(request_quarantine_test, store_gets_no_more_than_its_bound_whatever_is_in_quarantine) {
    constexpr int request_count = 500;
    std::vector<part_list> requests;
    requests.reserve(request_count);
    for (int i = 0; i < request_count; ++i) {
        requests.push_back(plain_request("/deadly/" + std::to_string(i)));
    }
    crash_in_turn(3, requests);
    advance(10s);
    const auto update = router.quarantine.plan_store_update({}, now);
    ASSERT_TRUE(update.has_value());
    EXPECT_LE(update->size(), part_quarantine::max_stored_parts + part_quarantine::max_more_stored_parts);
}

TEST_F(request_quarantine_test, many_interrupted_requests_do_not_displace_one_with_more_crashes) {
    crash_in_turn(2, {deadly});
    for (std::size_t i = 0; i < 2 * part_quarantine::max_tracked_parts; ++i) {
        advance(1ms);
        crash({plain_request("/book/" + std::to_string(i))});
    }
    answer(plain_request("/other"));
    crash({deadly});
    EXPECT_TRUE(router.rejects(deadly, now));
}

} // namespace
} // namespace eelgrassgw

/// Tests requests from the caller through routers and agents to the back ends, without faults.

#include "test/system/checker.h"

#include <gtest/gtest.h>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds idle_timeout{30};

class whole_path_test : public testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(target.is_up()); }

    void expect_no_violations() { test::expect_no_violations(target, callers, idle_timeout); }

    fleet target{{"--routers=2", "--engines=3", "--services=2"}};
    caller callers{target};
};

TEST_F(whole_path_test, thousand_mixed_requests_balance_to_the_token) {
    constexpr int concurrent_callers = 10;
    constexpr int requests_per_caller = 100;
    run_concurrently(concurrent_callers, [this](int i) {
        for (int j = 0; j < requests_per_caller; ++j) {
            const std::string number = std::to_string(i) + "-" + std::to_string(j);
            const std::string router = j % 2 == 0 ? "router-1" : "router-2";
            if (j % 5 == 4) {
                (void)callers.book(router, "lot-" + number);
            } else {
                (void)callers.chat(router, "question " + number, j % 3 == 0 ? "key-" + number : "",
                                   j % 2 == 1);
            }
        }
    });
    int answered = 0;
    for (const observation& o : callers.observations()) {
        answered += o.is_complete ? 1 : 0;
    }
    EXPECT_EQ(answered, concurrent_callers * requests_per_caller);
    expect_no_violations();
    EXPECT_EQ(target.stop(), 0);
}

TEST_F(whole_path_test, repeated_key_at_another_router_gets_the_same_answer_and_one_bill) {
    const observation first = callers.chat("router-1", "repeated", "same-key", false);
    const observation second = callers.chat("router-2", "repeated", "same-key", false);
    EXPECT_EQ(first.text, second.text);
    expect_no_violations();
}

TEST_F(whole_path_test, broken_stream_is_resumed_at_another_router) {
    constexpr std::size_t resume_offset = 25;
    const observation complete_answer = callers.chat("router-1", "resumed LENGTH=20", "one-key", true);
    const observation rest = callers.resume("router-2", "resumed LENGTH=20", "one-key", resume_offset);
    EXPECT_TRUE(rest.is_complete) << rest.code;
    EXPECT_EQ(rest.text, complete_answer.text.substr(resume_offset));
    expect_no_violations();
}

TEST_F(whole_path_test, key_with_another_body_is_refused) {
    (void)callers.chat("router-1", "one body", "same-key", false);
    const observation reused = callers.chat("router-2", "another body", "same-key", false);
    EXPECT_EQ(reused.code, "key_reused");
    EXPECT_EQ(reused.ran, "unknown");
}

TEST_F(whole_path_test, booking_without_a_key_is_refused) {
    EXPECT_EQ(callers.book("router-1", "").code, "missing_idempotency_key");
}

TEST_F(whole_path_test, lookup_is_answered_for_its_query) {
    const observation seen = callers.get_position("router-1");
    EXPECT_EQ(seen.status, 200);
    EXPECT_EQ(string_member(parse_json(seen.text).value(), "lot"), "17") << seen.text;
}

TEST_F(whole_path_test, booking_by_another_method_than_the_configured_one_is_refused) {
    EXPECT_EQ(callers.call("router-1", "GET", "/v1/services/booking/book", "key").code, "method_not_allowed");
}

TEST_F(whole_path_test, chat_repeated_at_once_is_run_and_billed_once) {
    run_concurrently(8, [this](int i) {
        (void)callers.chat(i % 2 == 0 ? "router-1" : "router-2", "at once", "one-key", i % 3 == 0);
    });
    expect_no_violations();
}

TEST(one_shard_test, three_routers_that_share_one_shard_balance) {
    fleet target({"--routers=3", "--engines=2", "--services=1", "--shards=1", "--budget=20000",
                  "--smallest_grant=200", "--idle_return_ms=300", "--grant_horizon_s=1"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    run_concurrently(9, [&callers](int i) {
        for (int j = 0; j < 20; ++j) {
            const std::string text = std::to_string(i) + " asks " + std::to_string(j);
            (void)callers.chat("router-" + std::to_string(1 + i % 3), text, "", false);
        }
    });
    test::expect_no_violations(target, callers, idle_timeout);
    EXPECT_EQ(target.stop(), 0);
}

TEST(recovery_race_test, two_routers_recover_a_third_at_once) {
    fleet target({"--routers=3", "--engines=2", "--services=1", "--failpoint=router-1/router_chunk=exit:4"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    (void)callers.chat_until_final("LENGTH=30", "key", true, std::chrono::seconds(20));
    test::expect_no_violations(target, callers, idle_timeout);
    EXPECT_EQ(target.stop(), 0);
}

TEST_F(whole_path_test, booking_repeated_at_once_takes_effect_once) {
    run_concurrently(8, [this](int i) {
        const observation seen = callers.book(i % 2 == 0 ? "router-1" : "router-2", "one-lot");
        EXPECT_TRUE(seen.is_complete) << seen.code;
    });
    expect_no_violations();
}

} // namespace
} // namespace eelgrassgw::test

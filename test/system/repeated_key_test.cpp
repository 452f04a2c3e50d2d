/// Tests a key that is repeated after the processes that served it have ended.

#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds timeout{20};

class repeated_key_test : public testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(target.is_up()); }

    void kill_and_restart(const std::string& name) {
        target.send_signal(name, SIGKILL);
        ASSERT_TRUE(wait_until([&] { return !target.is_running(name); }, timeout));
        target.restart(name);
    }

    /// Repeats a request until the agent has rebuilt its record of earlier requests. Returns the last answer.
    observation repeat(const std::string& router) {
        observation last;
        (void)wait_until(
            [&] {
                last = callers.chat(router, "one question", "one-key", false);
                return last.is_complete || last.code == "ran_before";
            },
            timeout);
        return last;
    }

    void expect_no_violations() { test::expect_no_violations(target, callers, timeout); }

    fleet target{{"--routers=2", "--engines=1", "--services=1"}};
    caller callers{target};
};

TEST_F(repeated_key_test, is_known_after_its_agent_restarted) {
    EXPECT_TRUE(callers.chat("router-1", "one question", "one-key", false).is_complete);
    ASSERT_NO_FATAL_FAILURE(kill_and_restart("engine-1"));
    EXPECT_EQ(repeat("router-2").code, "ran_before");
    expect_no_violations();
}

TEST_F(repeated_key_test, is_known_after_its_router_was_recovered_and_its_agent_restarted) {
    EXPECT_TRUE(callers.chat("router-1", "one question", "one-key", false).is_complete);
    target.send_signal("router-1", SIGKILL);
    ASSERT_TRUE(wait_until([&] { return has_closed_router(target); }, timeout));
    ASSERT_NO_FATAL_FAILURE(kill_and_restart("engine-1"));
    EXPECT_EQ(repeat("router-2").code, "ran_before");
    expect_no_violations();
}

TEST(repeated_key_overload_test, key_that_was_refused_for_overload_is_run_and_billed_once) {
    fleet target({"--routers=2", "--engines=2", "--services=1", "--max_running=1", "--max_queued=0"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    constexpr int key_count = 6;
    std::thread busy([&] { (void)callers.chat("router-1", "LENGTH=200 keeps one engine busy", "", false); });
    EXPECT_TRUE(wait_until([&] { return target.metric("router-1", "requests_in_flight") > 0; }, timeout));
    for (int i = 0; i < key_count; ++i) {
        (void)callers.chat("router-1", "LENGTH=2", "key-" + std::to_string(i), false);
    }
    busy.join();
    for (int i = 0; i < key_count; ++i) {
        EXPECT_TRUE(callers.chat("router-2", "LENGTH=2", "key-" + std::to_string(i), false).is_complete);
    }
    test::expect_no_violations(target, callers, timeout);
}

TEST(repeated_key_drain_test, key_whose_agent_left_is_not_billed_a_second_time) {
    fleet target({"--routers=2", "--engines=2", "--services=1"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    constexpr int key_count = 6;
    for (int i = 0; i < key_count; ++i) {
        EXPECT_TRUE(callers.chat("router-1", "LENGTH=2", "key-" + std::to_string(i), false).is_complete);
    }
    target.send_signal("engine-1", SIGTERM);
    ASSERT_TRUE(wait_until([&] { return !target.is_running("engine-1"); }, timeout));
    for (int i = 0; i < key_count; ++i) {
        (void)callers.chat("router-2", "LENGTH=2", "key-" + std::to_string(i), false);
    }
    test::expect_no_violations(target, callers, timeout);
}

TEST(repeated_key_budget_test, key_that_ran_is_answered_although_the_budget_is_used_up) {
    const fleet target({"--routers=2", "--engines=1", "--services=1", "--budget=400", "--smallest_grant=0"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    EXPECT_TRUE(callers.chat("router-1", "LENGTH=200", "one-key", false).is_complete);
    EXPECT_EQ(callers.chat("router-2", "LENGTH=200", "", false).code, "budget_exhausted");
    EXPECT_TRUE(callers.chat("router-2", "LENGTH=200", "one-key", false).is_complete);
    test::expect_no_violations(target, callers, timeout);
}

class moved_key_test : public testing::Test {
protected:
    static constexpr int key_count = 6;

    void SetUp() override { ASSERT_TRUE(target.is_up()); }

    std::vector<observation> send_all(const std::string& router) {
        std::vector<observation> seen;
        seen.reserve(key_count);
        for (int i = 0; i < key_count; ++i) {
            seen.push_back(callers.chat(router, "LENGTH=2", "key-" + std::to_string(i), false));
        }
        return seen;
    }

    void stop(const std::string& name, int signal) {
        target.send_signal(name, signal);
        ASSERT_TRUE(wait_until([&] { return !target.is_running(name); }, timeout));
    }

    void expect_no_violations() { test::expect_no_violations(target, callers, timeout); }

    fleet target{{"--routers=2", "--engines=2", "--services=1"}};
    caller callers{target};
};

TEST_F(moved_key_test, key_is_answered_by_the_old_agent_after_another_one_joined) {
    ASSERT_NO_FATAL_FAILURE(stop("engine-2", SIGTERM));
    for (const observation& seen : send_all("router-1")) {
        EXPECT_TRUE(seen.is_complete) << seen.code;
    }
    target.restart("engine-2");
    ASSERT_TRUE(wait_until([&] { return target.metric("router-2", "live_agents") == 3; }, timeout));
    (void)wait_until([&] { return callers.chat("router-2", "LENGTH=2", "new", false).is_complete; }, timeout);
    for (const observation& seen : send_all("router-2")) {
        EXPECT_TRUE(seen.is_complete) << seen.code;
    }
    expect_no_violations();
}

/// The restarted agent is listed as live some time before it knows which requests ran there.
TEST_F(moved_key_test, key_is_not_refused_while_a_restarted_agent_still_reads_its_memory) {
    ASSERT_NO_FATAL_FAILURE(stop("engine-2", SIGTERM));
    for (const observation& seen : send_all("router-1")) {
        EXPECT_TRUE(seen.is_complete) << seen.code;
    }
    target.restart("engine-2", "rpc_recent_requests=slow:1");
    ASSERT_TRUE(wait_until([&] { return target.metric("router-2", "live_agents") == 3; }, timeout));
    for (const observation& seen : send_all("router-2")) {
        EXPECT_TRUE(seen.is_complete) << seen.code;
    }
    expect_no_violations();
}

TEST_F(moved_key_test, key_whose_agent_was_declared_lost_is_not_billed_a_second_time) {
    (void)send_all("router-1");
    ASSERT_NO_FATAL_FAILURE(stop("engine-1", SIGKILL));
    EXPECT_EQ(
        target.run_eelgrassctl({"forget-agent", "--agent=engine-1", "--reason=its VM was deleted"}).exit_code,
        0);
    (void)wait_until([&] { return target.metric("router-2", "live_agents") == 2; }, timeout);
    for (const observation& seen : send_all("router-2")) {
        EXPECT_TRUE(seen.is_complete || seen.code == "answer_not_kept") << seen.code;
    }
    expect_no_violations();
}

TEST_F(moved_key_test, key_is_not_refused_as_not_run_by_a_router_that_stops) {
    (void)send_all("router-1");
    std::thread busy([&] { (void)callers.chat("router-2", "LENGTH=200", "", true); });
    EXPECT_TRUE(wait_until([&] { return target.metric("router-2", "requests_in_flight") > 0; }, timeout));
    target.send_signal("router-2", SIGTERM);
    for (const observation& seen : send_all("router-2")) {
        EXPECT_NE(seen.ran, "no") << seen.code;
    }
    busy.join();
    (void)wait_until([&] { return !target.is_running("router-2"); }, timeout);
    expect_no_violations();
}

} // namespace
} // namespace eelgrassgw::test

/// A key that is repeated after the processes that knew it are gone.

#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds limit{20};

class repeated_key_test : public testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(target.is_up()); }

    void kill_and_restart(const std::string& name) {
        target.send_signal(name, SIGKILL);
        ASSERT_TRUE(wait_until([&] { return !target.is_running(name); }, limit));
        target.restart(name);
    }

    /// Repeats until the agent has rebuilt its memory.
    observation repeat(const std::string& router) {
        observation last;
        (void)wait_until(
            [&] {
                last = callers.chat(router, "one question", "one-key", false);
                return last.whole || last.code == "ran_before";
            },
            limit);
        return last;
    }

    void expect_promises_hold() {
        EXPECT_EQ(wait_for_rest(target, limit), "");
        for (const std::string& violation : checker(target, callers.seen()).violations()) {
            ADD_FAILURE() << violation;
        }
    }

    fleet target{{"--routers=2", "--engines=1", "--services=1"}};
    caller callers{target};
};

TEST_F(repeated_key_test, is_known_after_its_agent_restarted) {
    EXPECT_TRUE(callers.chat("router-1", "one question", "one-key", false).whole);
    ASSERT_NO_FATAL_FAILURE(kill_and_restart("engine-1"));
    EXPECT_EQ(repeat("router-2").code, "ran_before");
    expect_promises_hold();
}

TEST_F(repeated_key_test, is_known_after_its_router_was_recovered_and_its_agent_restarted) {
    EXPECT_TRUE(callers.chat("router-1", "one question", "one-key", false).whole);
    target.send_signal("router-1", SIGKILL);
    ASSERT_TRUE(wait_until([&] { return has_closed_router(target); }, limit));
    ASSERT_NO_FATAL_FAILURE(kill_and_restart("engine-1"));
    EXPECT_EQ(repeat("router-2").code, "ran_before");
    expect_promises_hold();
}

TEST(repeated_key_overload_test, key_that_was_refused_for_overload_is_run_and_billed_once) {
    fleet target({"--routers=2", "--engines=2", "--services=1", "--max_running=1", "--max_queued=0"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    constexpr int keys = 6;
    std::thread busy([&] { (void)callers.chat("router-1", "LENGTH=200 keeps one engine busy", "", false); });
    EXPECT_TRUE(wait_until([&] { return target.metric("router-1", "requests_in_flight") > 0; }, limit));
    for (int i = 0; i < keys; ++i) {
        (void)callers.chat("router-1", "LENGTH=2", "key-" + std::to_string(i), false);
    }
    busy.join();
    for (int i = 0; i < keys; ++i) {
        EXPECT_TRUE(callers.chat("router-2", "LENGTH=2", "key-" + std::to_string(i), false).whole);
    }
    EXPECT_EQ(wait_for_rest(target, limit), "");
    for (const std::string& violation : checker(target, callers.seen()).violations()) {
        ADD_FAILURE() << violation;
    }
}

} // namespace
} // namespace eelgrassgw::test

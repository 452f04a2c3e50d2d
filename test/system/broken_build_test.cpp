/// Tests that the checker detects faulty behaviour that failpoints introduce on purpose.

#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds idle_timeout{6}; // A broken build may never become idle.
constexpr std::chrono::seconds fault_timeout{20};

std::vector<std::string> find_violations(const fleet& target, const caller& callers) {
    (void)wait_until_idle(target, idle_timeout);
    return checker(target, callers.observations()).violations();
}

TEST(broken_build_test, admission_without_a_reservation_is_caught) {
    fleet target({"--routers=1", "--engines=1", "--services=1", "--budget=100",
                  "--failpoint=router-1/admission_skip_reserve=skip"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    for (int i = 0; i < 5; ++i) {
        (void)callers.chat("router-1", "LENGTH=40 number " + std::to_string(i), "", false);
    }
    EXPECT_FALSE(find_violations(target, callers).empty());
}

TEST(broken_build_test, billing_at_send_is_caught) {
    fleet target({"--routers=1", "--engines=1", "--services=1", "--failpoint=router-1/bill_at_send=skip"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    (void)callers.chat("router-1", "LENGTH=10", "", false);
    EXPECT_FALSE(find_violations(target, callers).empty());
}

TEST(broken_build_test, repeating_a_booking_is_caught) {
    fleet target({"--routers=1", "--engines=1", "--services=1", "--proxies",
                  "--failpoint=service-1/service_repeat_call=skip"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    target.set_proxy_mode("backend-service-1", "cut_answers");
    (void)callers.book("router-1", "lot");
    target.set_proxy_mode("backend-service-1", "pass");
    EXPECT_FALSE(find_violations(target, callers).empty());
}

TEST(broken_build_test, agent_that_ignores_the_seal_is_caught) {
    fleet target({"--routers=2", "--engines=1", "--services=1", "--failpoint=engine-1/agent_seal=skip",
                  "--failpoint=router-1/router_before_ticket=freeze:2"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    (void)callers.chat("router-1", "so that the agent knows the router", "", false);
    std::thread second([&] { (void)callers.chat("router-1", "LENGTH=20 after the seal", "", false); });
    EXPECT_TRUE(wait_until([&] { return target.is_frozen("router-1"); }, fault_timeout));
    EXPECT_TRUE(wait_until([&] { return has_closed_router(target); }, fault_timeout));
    target.send_signal("router-1", SIGCONT);
    second.join();
    EXPECT_FALSE(find_violations(target, callers).empty());
}

TEST(broken_build_test, agent_that_forgets_the_usage_is_caught) {
    fleet target(
        {"--routers=1", "--engines=1", "--services=1", "--failpoint=engine-1/agent_run_finished=error"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    (void)callers.chat("router-1", "LENGTH=10", "", false);
    EXPECT_FALSE(find_violations(target, callers).empty());
}

} // namespace
} // namespace eelgrassgw::test

/// Tests that a refusal states correctly whether the request ran, also after several attempts.

#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds idle_timeout{30};

TEST(refusal_test, request_whose_first_attempt_may_run_is_not_refused_as_not_run) {
    const fleet target({"--routers=1", "--engines=1", "--services=1",
                        "--failpoint=router-1/send_ticket=lose_answer:1,attach_run=unreachable"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    EXPECT_EQ(callers.chat("router-1", "LENGTH=20", "", false).ran, "unknown");
    test::expect_no_violations(target, callers, idle_timeout);
}

TEST(refusal_test, ticket_lost_on_its_way_to_an_agent_that_closed_is_told_as_not_run) {
    const fleet target({"--routers=1", "--engines=1", "--services=1",
                        "--failpoint=router-1/send_ticket=lose_request:1,attach_run=unreachable"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    observation seen;
    std::thread sender([&] { seen = callers.chat("router-1", "LENGTH=20", "", false); });
    EXPECT_TRUE(
        wait_until([&] { return target.metric("router-1", "requests_in_flight") > 0; }, idle_timeout));
    target.send_signal("engine-1", SIGTERM);
    sender.join();
    EXPECT_EQ(seen.ran, "no") << seen.code;
    test::expect_no_violations(target, callers, idle_timeout);
}

TEST(refusal_test, booking_whose_ticket_was_lost_is_sent_again_to_the_only_service) {
    fleet target(
        {"--routers=1", "--engines=1", "--services=1", "--failpoint=router-1/send_ticket=lose_request:1"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    EXPECT_TRUE(callers.book("router-1", "lot").is_complete);
    test::expect_no_violations(target, callers, idle_timeout);
    EXPECT_EQ(target.stop(), 0);
}

} // namespace
} // namespace eelgrassgw::test

/// What a refusal says must be true, also after several attempts.

#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds rest_limit{30};

TEST(refusal_test, request_whose_first_attempt_may_run_is_not_refused_as_not_run) {
    const fleet target({"--routers=1", "--engines=1", "--services=1",
                        "--failpoint=router-1/send_ticket=lose_answer:1,attach_run=unreachable"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    EXPECT_EQ(callers.chat("router-1", "LENGTH=20", "", false).ran, "unknown");
    test::expect_promises_hold(target, callers, rest_limit);
}

TEST(refusal_test, ticket_lost_on_its_way_to_an_agent_that_closed_is_told_as_not_run) {
    const fleet target({"--routers=1", "--engines=1", "--services=1",
                        "--failpoint=router-1/send_ticket=lose_request:1,attach_run=unreachable"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    observation seen;
    std::thread sender([&] { seen = callers.chat("router-1", "LENGTH=20", "", false); });
    EXPECT_TRUE(wait_until([&] { return target.metric("router-1", "requests_in_flight") > 0; }, rest_limit));
    target.send_signal("engine-1", SIGTERM);
    sender.join();
    EXPECT_EQ(seen.ran, "no") << seen.code;
    test::expect_promises_hold(target, callers, rest_limit);
}

TEST(refusal_test, booking_whose_ticket_was_lost_is_sent_again_to_the_only_service) {
    fleet target(
        {"--routers=1", "--engines=1", "--services=1", "--failpoint=router-1/send_ticket=lose_request:1"});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    EXPECT_TRUE(callers.book("router-1", "lot").whole);
    test::expect_promises_hold(target, callers, rest_limit);
    EXPECT_EQ(target.down(), 0);
}

} // namespace
} // namespace eelgrassgw::test

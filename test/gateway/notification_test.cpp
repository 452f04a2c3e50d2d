/// Tests that a notification is never lost, in whatever order it meets the wait for it.

#include "net/notification.h"

#include "task_runner.h"

#include <thread>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class notification_test : public ::testing::Test {
protected:
    using clock = notification::clock;

    /// Runs `body` on a context of its own.
    void run(std::function<task<void>()> body) { run_task(context, std::move(body)); }

    asio::io_context context;
    notification changed{context.get_executor()};
};

/// Guards against a wake-up that is lost because nobody waits yet.
TEST_F(notification_test, call_before_the_wait_ends_it_at_once) {
    run([&]() -> task<void> {
        changed.notify();
        changed.notify();
        EXPECT_TRUE(co_await changed.wait_until(clock::now() + 10s));
        EXPECT_FALSE(co_await changed.wait_until(clock::now() + 10ms));
    });
}

TEST_F(notification_test, call_during_the_wait_ends_it) {
    run([&]() -> task<void> {
        asio::steady_timer later(context, 20ms);
        later.async_wait([&](net_error) { changed.notify(); });
        EXPECT_TRUE(co_await changed.wait_until(clock::now() + 10s));
    });
}

/// Guards against a wake-up that is lost because the wait has ended but its handler still queues: the test
/// holds the thread up until both timers have passed, and the earlier one notifies.
TEST_F(notification_test, call_after_the_time_of_the_wait_and_before_its_task_runs_is_not_lost) {
    run([&]() -> task<void> {
        const auto deadline = clock::now() + 20ms;
        asio::steady_timer earlier(context, deadline - 10ms);
        earlier.async_wait([&](net_error) {
            std::this_thread::sleep_for(30ms);
            changed.notify();
        });
        EXPECT_TRUE(co_await changed.wait_until(deadline));
    });
}

TEST_F(notification_test, wait_without_a_call_ends_at_its_deadline) {
    run([&]() -> task<void> {
        const auto started = clock::now();
        EXPECT_FALSE(co_await changed.wait_until(started + 30ms));
        EXPECT_GE(clock::now(), started + 30ms);
        changed.notify(); // It counts for the next wait.
        EXPECT_TRUE(co_await changed.wait_until(clock::now() + 10s));
    });
}

} // namespace
} // namespace eelgrassgw

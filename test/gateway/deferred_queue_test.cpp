/// Tests that callers' work waits for control work, and that it is neither lost nor run in place.

#include "overload/deferred_queue.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// Guards against control work that waits behind all of the callers' work that was queued before it.
TEST(deferred_queue_test, control_work_waits_for_one_batch_at_most) {
    asio::io_context context;
    const deferred_executor callers(context);
    int callers_run = 0;
    int run_before_control = -1;
    for (int i = 0; i < 100; ++i) {
        asio::post(callers, [&] {
            std::this_thread::sleep_for(1ms);
            if (++callers_run == 1) {
                asio::post(context, [&] { run_before_control = callers_run; });
            }
        });
    }
    context.run();
    EXPECT_EQ(100, callers_run);
    EXPECT_GE(run_before_control, 1);
    EXPECT_LE(run_before_control, deferred_queue::max_batch_time / 1ms);
}

/// Guards against control timers that are not polled while callers' work adds further work without end.
TEST(deferred_queue_test, timer_expires_while_callers_work_renews_itself) {
    asio::io_context context;
    const deferred_executor callers(context);
    bool expired = false;
    asio::steady_timer timer(context, 20ms);
    timer.async_wait([&](net_error) { expired = true; });
    const auto end = std::chrono::steady_clock::now() + 5s;
    std::function<void()> renew = [&] {
        if (!expired && std::chrono::steady_clock::now() < end) {
            asio::post(callers, renew);
        }
    };
    renew();
    context.run();
    EXPECT_TRUE(expired);
}

/// Guards against a queue that stops, or drops functions, after one of them has thrown.
TEST(deferred_queue_test, exception_of_one_function_keeps_no_other_from_running) {
    asio::io_context context;
    const deferred_executor callers(context);
    bool second_ran = false;
    asio::post(callers, [] { throw std::runtime_error("test"); });
    asio::post(callers, [&] { second_ran = true; });
    EXPECT_THROW(context.run(), std::runtime_error);
    context.run();
    EXPECT_TRUE(second_ran);
}

/// Guards against coroutines that leave the queue after their first wait.
TEST(deferred_queue_test, task_stays_behind_control_work_after_it_has_waited) {
    asio::io_context context;
    const deferred_executor callers(context);
    std::string order;
    asio::co_spawn(
        callers,
        [&]() -> task<void> {
            co_await sleep_for(10ms);
            order += "caller ";
        },
        asio::detached);
    asio::steady_timer control(context, 10ms);
    control.async_wait([&](net_error) {
        std::this_thread::sleep_for(10ms); // The timers of both have expired when the loop polls again.
        asio::post(context, [&] { order += "control "; });
    });
    context.run();
    EXPECT_EQ("control caller ", order);
}

TEST(deferred_queue_test, delay_is_that_of_the_queue_and_zero_while_it_is_empty) {
    asio::io_context context;
    deferred_queue& queue = deferred_queue::of(context);
    EXPECT_EQ(0ms, queue.delay(deferred_queue::clock::now()));
    queue.add([] {});
    EXPECT_GE(queue.delay(deferred_queue::clock::now() + 70ms), 70ms);
    std::this_thread::sleep_for(20ms);
    context.run();
    EXPECT_EQ(0ms, queue.delay(deferred_queue::clock::now() + 1s));
    EXPECT_GE(queue.take_max_delay(), 20ms);
    EXPECT_EQ(0ms, queue.take_max_delay());
}

} // namespace
} // namespace eelgrassgw

/// Tests when refused callers are told to come back, and how long processes wait between failed attempts.

#include "gateway/retry_advice.h"
#include "retries/backoff.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

TEST(retry_after_store_outage_test, grows_with_the_outage_up_to_a_third_of_the_remaining_time) {
    EXPECT_EQ(1500ms, retry_after_store_outage(0ms, 12s));
    EXPECT_EQ(3500ms, retry_after_store_outage(1s, 12s));
    EXPECT_EQ(4s, retry_after_store_outage(5s, 12s));
}

TEST(retry_after_store_outage_test, caller_with_little_time_left_comes_back_soon) {
    EXPECT_EQ(800ms, retry_after_store_outage(5s, 1s));
}

/// Plays an outage of `outage` during which a caller is refused every 10 ms. Each caller comes back once, and
/// waits for at most a third of its 12 s. Returns the share of the callers that come back after the outage.
template <class Advice>
double play_outage(milliseconds outage, Advice advise) {
    int refused = 0;
    int served = 0;
    for (milliseconds at = 0ms; at < outage; at += 10ms) {
        const milliseconds wait = std::min(advise(at), milliseconds(12000 / 3));
        ++refused;
        served += at + wait >= outage ? 1 : 0;
    }
    return double(served) / refused;
}

TEST(retry_after_store_outage_test,
     more_callers_are_served_after_an_outage_of_seconds_than_with_a_fixed_wait) {
    const auto advised = [](milliseconds elapsed) {
        return retry_after_store_outage(elapsed, 12s);
    };
    const auto fixed = [](milliseconds) {
        return 800ms;
    };
    for (const milliseconds outage : {1000ms, 2000ms, 4000ms, 6200ms}) {
        EXPECT_GE(play_outage(outage, advised), play_outage(outage, fixed));
    }
    EXPECT_GT(play_outage(6200ms, advised), 0.6);
    EXPECT_LT(play_outage(6200ms, fixed), 0.2);
}

TEST(backoff_test, delay_doubles_up_to_the_maximum_and_starts_again) {
    backoff delays(100ms, 400ms);
    for (const milliseconds length : {100ms, 200ms, 400ms, 400ms}) {
        const milliseconds delay = delays.next_delay();
        EXPECT_GE(delay, length / 2);
        EXPECT_LE(delay, length);
    }
    delays.reset();
    EXPECT_LE(delays.next_delay(), 100ms);
}

TEST(backoff_test, processes_that_fail_together_do_not_try_again_together) {
    std::vector<milliseconds> first_delays(50);
    for (milliseconds& delay : first_delays) {
        delay = backoff(1000ms, 4000ms).next_delay();
    }
    const auto [earliest, latest] = std::minmax_element(first_delays.begin(), first_delays.end());
    EXPECT_GT(*latest - *earliest, 200ms);
}

} // namespace
} // namespace eelgrassgw

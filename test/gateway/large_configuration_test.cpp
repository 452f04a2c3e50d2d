/// Tests that a large configuration, and the newest of many, is in force in time at a router without room.

#include "busy_router_fixture.h"
#include "paced_link.h"

#include <algorithm>
#include <map>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

/// Longest time from the acknowledgement of a version until it is in force, as the platform states it.
constexpr std::chrono::milliseconds max_time_to_force{2000};

class large_configuration_test : public busy_router_fixture {
protected:
    /// Writes a version with `count` routes besides "/read/".
    void configure_routes(int count, std::uint64_t version) {
        std::vector<test_route> routes{{"/read/"}};
        for (int i = 0; i < count; ++i) {
            routes.push_back({"/added-" + std::to_string(i) + "/"});
        }
        configure(routes, version);
    }
    /// Waits until the version is in force, for the longest allowed time and some more. Returns how long.
    task<std::chrono::milliseconds> time_to_force(std::uint64_t version) {
        const auto acknowledged = clock::now();
        while (!is_in_force(version) && clock::now() - acknowledged < 3 * max_time_to_force) {
            co_await sleep_for(20ms);
        }
        co_return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - acknowledged);
    }
};

/// Guards against a large configuration that a router at capacity reads in so many turns of its event loop
/// that it serves an older version for seconds.
TEST_F(large_configuration_test, busy_router_has_it_in_force_in_time) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        keep_callers_busy(4000ms);
        co_await sleep_for(300ms);
        configure_routes(1400, 2);
        EXPECT_LT(co_await time_to_force(2), max_time_to_force);
        busy = false;
    });
}

/// Guards against a router that reads all versions which it missed, so that each reply takes longer than the
/// one before and the newest version comes ever later.
TEST_F(large_configuration_test, versions_in_quick_succession_do_not_delay_the_newest) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    const paced_link link(context, next_loopback_address(), store.address(), 400000);
    settings.store = link.address();
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        std::uint64_t version = 1;
        std::map<std::uint64_t, clock::time_point> acknowledged;
        std::map<std::uint64_t, clock::time_point> in_force;
        const auto end = clock::now() + 6s;
        while (clock::now() < end) {
            configure_routes(400, ++version);
            acknowledged[version] = clock::now();
            co_await sleep_for(100ms);
            in_force.try_emplace(newest_in_force(), clock::now());
        }
        EXPECT_LT(co_await time_to_force(version), max_time_to_force);
        clock::duration longest{0};
        for (const auto& [acked, at] : acknowledged) {
            const auto found = in_force.lower_bound(acked);
            longest = std::max(longest, (found == in_force.end() ? clock::now() : found->second) - at);
        }
        EXPECT_LT(longest / 1ms, max_time_to_force / 1ms);
    });
}

} // namespace
} // namespace eelgrassgw

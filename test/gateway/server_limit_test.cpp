/// Tests that a backend server which names a limit gets no more requests from all routers together.

#include "router_fleet.h"

#include <algorithm>
#include <map>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

class server_limit_test : public router_fleet {
protected:
    /// Time within which all routers keep to a limit after a server first named it.
    static constexpr std::chrono::milliseconds contact_time{3000};
    /// Time over which the requests are counted.
    static constexpr std::chrono::milliseconds window{4000};

    void SetUp() override { configure({{"/read/", "idempotent", "plain", 2, 3000}}); }

    /// Adds a server that states `limit` in each answer, unless that is empty.
    void add_limited_backend(const std::string& id, const std::string& limit) {
        limits[id] = limit;
        add_backend(id, "plain", [this, id](backend_exchange& e) -> task<void> {
            arrivals[id].push_back(clock::now());
            const std::string limit_header = limits[id].empty() ? "" : "Server-Limit: " + limits[id] + "\r\n";
            co_await sleep_for(5ms);
            co_await e.write(e.genuine_head(200) + limit_header + "Content-Length: 2\r\n\r\nok");
        });
    }

    /// Sends requests to the routers, to each as often as its weight says, for `time`.
    task<void> send_load(std::vector<int> weights, double requests_per_s, std::chrono::milliseconds time) {
        std::vector<std::size_t> turns;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            turns.insert(turns.end(), std::size_t(weights[i]), i);
        }
        const auto started = clock::now();
        const std::chrono::duration<double> pause(1 / requests_per_s);
        for (std::size_t n = 0; clock::now() - started < time; ++n) {
            asio::co_spawn(context, send_one(turns[n * 7 % turns.size()]), asio::detached);
            co_await sleep_for(std::chrono::duration_cast<std::chrono::microseconds>(pause));
        }
        co_await sleep_for(300ms);
    }

    task<void> send_one(std::size_t router_index) {
        const unsigned status = co_await call_router(router_index, request("GET", "/read/"));
        ++answers[status];
    }

    /// Returns the largest number of requests that reached the server within a window after `from`.
    std::size_t max_arrivals(const std::string& id, clock::time_point from) {
        std::size_t most = 0;
        const std::vector<clock::time_point>& times = arrivals[id];
        for (auto it = std::lower_bound(times.begin(), times.end(), from); it != times.end(); ++it) {
            most = std::max(most, std::size_t(std::lower_bound(it, times.end(), *it + window) - it));
        }
        return most;
    }

    /// Returns the number of requests that a server may get within a window.
    static std::size_t max_allowed(double limit) {
        constexpr double tolerance = 1.5;
        constexpr double extra_requests = 5;
        return std::size_t(tolerance * limit * std::chrono::duration<double>(window).count() +
                           extra_requests);
    }

    const std::vector<int> uneven_weights{1, 1, 2, 6};
    std::map<std::string, std::string> limits; ///< What each server states as its limit.
    std::map<std::string, std::vector<clock::time_point>> arrivals;
    std::map<unsigned, int> answers; ///< Number of answers by status.
};

TEST_F(server_limit_test, server_gets_no_more_than_its_limit_from_all_routers_together) {
    add_limited_backend("s1", "2.8");
    add_limited_backend("s2", "");
    run_task(
        context,
        [&]() -> task<void> {
            co_await start_routers(4);
            const auto named_at = clock::now();
            co_await send_load(uneven_weights, 60, contact_time + 2 * window);
            EXPECT_LE(max_arrivals("s1", named_at + contact_time), max_allowed(2.8));
            EXPECT_EQ(1U, answers.size()) << "requests beyond the limit were not served by the other server";
        },
        40s);
}

} // namespace
} // namespace eelgrassgw

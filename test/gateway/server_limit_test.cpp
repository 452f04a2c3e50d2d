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

    /// Adds a server that states `limit` in each answer, unless that is empty, and answers with `status`.
    void add_limited_backend(const std::string& id, const std::string& limit, int status = 200) {
        limits[id] = limit;
        add_backend(id, "plain", [this, id, status](backend_exchange& e) -> task<void> {
            arrivals[id].push_back(clock::now());
            const std::string limit_header = limits[id].empty() ? "" : "Server-Limit: " + limits[id] + "\r\n";
            const std::string not_run = status == 503 ? "Not-Executed: 1\r\n" : "";
            co_await sleep_for(5ms);
            co_await e.write(e.genuine_head(status) + limit_header + not_run + "Content-Length: 2\r\n\r\nok");
        });
    }

    /// Sends requests one after another and returns how many of them were answered with status 200.
    task<int> count_served(std::size_t router_index, int requests) {
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            const unsigned status = co_await call_router(router_index, request("GET", "/read/"));
            served += status == 200 ? 1 : 0;
        }
        co_return served;
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
    const std::vector<int> only_one{1};
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

TEST_F(server_limit_test, router_that_starts_later_keeps_to_the_limit_with_the_others) {
    add_limited_backend("s1", "2.8");
    add_limited_backend("s2", "");
    const std::vector<int> first_two{1, 1};
    const std::vector<int> all{1, 1, 4};
    run_task(
        context,
        [&]() -> task<void> {
            co_await start_routers(2);
            co_await send_load(first_two, 60, 1s);
            start_router();
            co_await sleep_for(introduction_time);
            const auto joined_at = clock::now();
            co_await send_load(all, 60, window + 1s);
            EXPECT_LE(max_arrivals("s1", joined_at), max_allowed(2.8));
            EXPECT_GE(arrivals["s1"].size(), 10U) << "the server got less than it takes";
        },
        40s);
}

TEST_F(server_limit_test, routers_keep_to_the_limit_while_the_store_is_away) {
    add_limited_backend("s1", "2.8");
    add_limited_backend("s2", "");
    run_task(
        context,
        [&]() -> task<void> {
            co_await start_routers(4);
            store.silent = true;
            const auto named_at = clock::now();
            co_await send_load(uneven_weights, 60, contact_time + 2 * window);
            EXPECT_LE(max_arrivals("s1", named_at + contact_time), max_allowed(2.8));
            EXPECT_EQ(1U, answers.size());
        },
        40s);
}

TEST_F(server_limit_test, router_that_sends_nothing_learns_from_another_that_the_limit_has_ended) {
    add_limited_backend("s1", "1");
    run_task(
        context,
        [&]() -> task<void> {
            co_await start_routers(2);
            EXPECT_EQ(1, co_await count_served(0, 5));
            co_await sleep_for(100ms);
            EXPECT_EQ(0, co_await count_served(1, 3)) << "the other router did not learn of the limit";
            limits["s1"] = "";
            co_await sleep_for(1200ms);
            EXPECT_EQ(5, co_await count_served(0, 5));
            co_await sleep_for(100ms);
            EXPECT_EQ(20, co_await count_served(1, 20));
        },
        40s);
}

TEST_F(server_limit_test, later_answer_changes_the_limit) {
    add_limited_backend("s1", "1");
    run([&]() -> task<void> {
        router_addresses = {settings.listen};
        EXPECT_EQ(1, co_await count_served(0, 3));
        limits["s1"] = "100";
        co_await sleep_for(1200ms);
        EXPECT_EQ(1, co_await count_served(0, 1));
        co_await sleep_for(500ms);
        EXPECT_EQ(30, co_await count_served(0, 30));
    });
}

/// Names a limit in answers of each kind.
class limit_in_answer_test : public server_limit_test, public ::testing::WithParamInterface<int> {};

TEST_P(limit_in_answer_test, answer_of_any_kind_names_the_limit_and_ends_it) {
    add_limited_backend("s1", "0.9", GetParam());
    run([&]() -> task<void> {
        router_addresses = {settings.listen};
        co_await count_served(0, 5);
        EXPECT_EQ(1U, arrivals["s1"].size());
        limits["s1"] = "";
        co_await sleep_for(1300ms);
        co_await count_served(0, 5);
        EXPECT_EQ(6U, arrivals["s1"].size());
    });
}

INSTANTIATE_TEST_SUITE_P(statuses, limit_in_answer_test, ::testing::Values(200, 404, 500, 503));

TEST_F(server_limit_test, request_beyond_all_limits_is_refused_at_once_with_the_time_to_come_back) {
    add_limited_backend("s1", "0.5");
    add_limited_backend("s2", "0.25");
    run([&]() -> task<void> {
        router_addresses = {settings.listen};
        EXPECT_EQ(2, co_await count_served(0, 2));
        const auto started = clock::now();
        const auto answer = co_await call(request("GET", "/read/"));
        EXPECT_EQ(503U, answer ? answer->result_int() : 0);
        EXPECT_LT(clock::now() - started, 200ms);
        const double retry_after_s = answer ? std::stod(std::string((*answer)["Retry-After"])) : 0;
        EXPECT_GT(retry_after_s, 1.5);
        EXPECT_LE(retry_after_s, 2.5);
        EXPECT_EQ(2U, arrivals["s1"].size() + arrivals["s2"].size());
    });
}

TEST_F(server_limit_test, requests_within_the_limit_are_served_though_more_are_refused) {
    add_limited_backend("s1", "5");
    run([&]() -> task<void> {
        router_addresses = {settings.listen};
        co_await send_load(only_one, 60, 6s);
        EXPECT_GE(answers[200], 25);
        EXPECT_LE(answers[200], 36);
    });
}

TEST_F(server_limit_test, connection_that_fails_costs_nothing_of_the_limit) {
    limits["s1"] = "1";
    add_limited_backend("s1", "1");
    run([&]() -> task<void> {
        router_addresses = {settings.listen};
        EXPECT_EQ(1, co_await count_served(0, 1));
        const std::string address = backends.front()->address();
        announce("s1", "plain", next_loopback_address(), "ready");
        co_await sleep_for(1300ms);
        EXPECT_EQ(0, co_await count_served(0, 1));
        announce("s1", "plain", address, "ready");
        co_await sleep_for(300ms);
        EXPECT_EQ(1, co_await count_served(0, 1));
    });
}

TEST_F(server_limit_test, server_that_uses_the_address_of_another_one_says_nothing_of_that) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write("HTTP/1.1 421 Misdirected Request\r\nServer-Limit: 0.1\r\nAttempt-Id: " +
                         e.header("Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n");
    });
    run([&]() -> task<void> {
        router_addresses = {settings.listen};
        co_await count_served(0, 3);
        EXPECT_EQ(3U, backends.front()->arrived().size());
    });
}

TEST_F(server_limit_test, new_run_of_a_server_has_no_limit) {
    add_limited_backend("s1", "0.1");
    run([&]() -> task<void> {
        router_addresses = {settings.listen};
        EXPECT_EQ(1, co_await count_served(0, 3));
        limits["s1"] = "";
        announce("s1", "plain", backends.front()->address(), "ready", 2000);
        co_await sleep_for(300ms);
        EXPECT_EQ(3, co_await count_served(0, 3));
    });
}

} // namespace
} // namespace eelgrassgw

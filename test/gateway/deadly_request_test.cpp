/// Tests that a request under which backend servers crash is kept from them when it comes again, and that
/// other requests are served.

#include "event_stream.h"
#include "router_fleet.h"

#include <algorithm>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

class deadly_request_test : public router_fleet {
protected:
    /// Time after the third crash from which on all routers keep the request from servers.
    static constexpr std::chrono::milliseconds contact_time{3000};
    static constexpr std::size_t max_requests_after_bound = 3;
    static constexpr std::chrono::milliseconds restart_time{800};

    void SetUp() override {
        configure({{"/read/", "idempotent", "plain", 2, 3000},
                   {"/book/", "non_idempotent", "plain", 2, 3000},
                   {"/ask/", "streaming", "plain", 2, 6000, true, true}},
                  1, 1000000);
        settings.retries.extra_retries = 1000;
        for (int i = 0; i < 4; ++i) {
            start_server();
        }
    }

    /// Starts a server that crashes under deadly requests and is back under another id some time later.
    void start_server() {
        const std::size_t index = backends.size();
        const std::string id = "s" + std::to_string(index);
        add_backend(id, "plain", [this, index, id](backend_exchange& e) -> task<void> {
            if (is_deadly(e.request())) {
                co_await crash(e, *backends[index], id);
            } else {
                co_await sleep_for(5ms);
                co_await e.answer(200, "ok");
            }
        });
    }

    static bool is_deadly(const text_request& request) {
        return std::string(request.target()).find("deadly") != std::string::npos &&
               request.body() == "deadly body";
    }

    /// Ends the server as a crash would, after some events if the request is a stream.
    task<void> crash(backend_exchange& e, scripted_backend& server, std::string id) {
        arrivals.push_back(clock::now());
        if (!e.header("Token-Counts").empty()) {
            co_await e.start_stream();
            const int first_event = next_event_id(e.header("Last-Event-Id"));
            for (int i = 0; i < int(5 + 5 * crashes.size()); ++i) { // Each run goes on for longer.
                co_await e.piece(event(first_event + i));
                co_await sleep_for(20ms);
            }
        }
        crashes.push_back(clock::now());
        server.stop_listening();
        store.remove("servers", id);
        e.break_off(true);
        asio::co_spawn(context, restart_later(), asio::detached);
    }

    task<void> restart_later() {
        co_await sleep_for(restart_time);
        start_server();
    }

    /// Returns a request that crashes each server. Its repetitions have other ids.
    std::string deadly_request() const {
        const std::string headers =
            is_stream ? "Model: m\r\nToken-Counts: 100,12\r\nPrompt-Prefix: f1257:40,e0:40,01:20\r\n" : "";
        return request(method, deadly_path, headers, "deadly body");
    }

    /// Sends the request to one router after the other, `at_once` of them together, for `time`.
    task<void> repeat(int at_once, std::chrono::milliseconds pause, std::chrono::milliseconds time) {
        const auto started = clock::now();
        for (std::size_t n = 0; clock::now() - started < time;) {
            for (int i = 0; i < at_once; ++i) {
                asio::co_spawn(context, send_one(n++ % routers.size(), deadly_request()), asio::detached);
            }
            co_await sleep_for(pause);
        }
    }

    task<void> send_one(std::size_t router_index, std::string bytes) {
        const unsigned status = co_await call_router(router_index, std::move(bytes));
        EXPECT_NE(200U, status);
    }

    /// Returns the number of deadly requests that reached servers after the bound.
    std::size_t arrivals_after_bound() const {
        if (crashes.size() < 3) {
            ADD_FAILURE() << "only " << crashes.size() << " servers crashed";
            return 0;
        }
        const auto bound = crashes[2] + contact_time;
        return std::size_t(
            std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& each) { return each > bound; }));
    }

    /// Expects that requests which differ from the deadly one in their path or body are served.
    task<void> expect_other_requests_served() {
        co_await sleep_for(restart_time + 500ms);
        for (std::size_t i = 0; i < routers.size(); ++i) {
            EXPECT_EQ(200U, co_await call_router(i, request("GET", "/read/1", "", "deadly body")));
            EXPECT_EQ(200U, co_await call_router(i, request("GET", "/read/deadly", "", "sound body")));
            EXPECT_EQ(200U, co_await call_router(i, request("POST", "/book/1")));
        }
    }

    /// Expects that a request which comes again and again, at all routers, is kept from servers in time.
    task<void> expect_quarantine(int at_once, std::chrono::milliseconds pause) {
        co_await start_routers(3);
        co_await repeat(at_once, pause, 12s);
        EXPECT_LE(arrivals_after_bound(), max_requests_after_bound) << crashes.size() << " servers crashed";
        co_await expect_other_requests_served();
    }

    static constexpr std::chrono::seconds time_limit{40};
    std::string method = "GET";
    std::string deadly_path = "/read/deadly";
    bool is_stream = false;
    std::vector<clock::time_point> arrivals; ///< Times at which deadly requests reached servers.
    std::vector<clock::time_point> crashes;
};

TEST_F(deadly_request_test, request_that_crashes_each_server_is_kept_from_them_when_it_comes_again) {
    run_task(
        context, [&]() -> task<void> { return expect_quarantine(1, 400ms); }, time_limit);
}

TEST_F(deadly_request_test, request_that_comes_in_bursts_is_kept_from_servers) {
    run_task(
        context, [&]() -> task<void> { return expect_quarantine(6, 2500ms); }, time_limit);
}

TEST_F(deadly_request_test, stream_that_is_answered_for_longer_each_time_is_kept_from_servers) {
    method = "POST";
    deadly_path = "/ask/deadly";
    is_stream = true;
    run_task(
        context, [&]() -> task<void> { return expect_quarantine(1, 900ms); }, time_limit);
}

TEST_F(deadly_request_test, booking_that_comes_again_is_kept_from_servers_by_a_router_that_starts_later_too) {
    method = "POST";
    deadly_path = "/book/deadly";
    const auto play = [&]() -> task<void> {
        co_await start_routers(2);
        co_await repeat(1, 900ms, 6s);
        start_router(); // It has the quarantine from the store.
        co_await sleep_for(1s);
        co_await repeat(1, 900ms, 5s);
        EXPECT_LE(arrivals_after_bound(), max_requests_after_bound) << crashes.size() << " servers crashed";
        co_await expect_other_requests_served();
    };
    run_task(context, play, time_limit);
}

} // namespace
} // namespace eelgrassgw

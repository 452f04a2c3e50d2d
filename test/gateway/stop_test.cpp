/// Tests that a graceful stop finishes the requests in progress.

#include "gateway_fixture.h"

#include <set>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class stop_test : public gateway_fixture {
protected:
    void SetUp() override { configure({{"/read/", "idempotent", "plain", 2, 6000}}); }
};

TEST_F(stop_test, stopping_router_is_not_ready_but_still_serves) {
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        asio::co_spawn(context, router->stop(), asio::detached);
        co_await sleep_for(50ms);
        EXPECT_EQ(503U, co_await readiness_status());
        EXPECT_EQ(200U, (co_await call(request("GET", "/read/")))->result_int());
    });
}

TEST_F(stop_test, request_in_progress_is_finished) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await sleep_for(4s);
        co_await e.answer(200, "late and whole");
    });
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("GET", "/read/"));
        co_await sleep_for(50ms);
        co_await router->stop();
        EXPECT_EQ("late and whole", (co_await caller.read_answer())->body());
    });
}

/// Callers keep sending on open and on new connections during the whole stop. Each request that reached a
/// server must be answered whole.
TEST_F(stop_test, requests_that_were_accepted_during_a_stop_under_load_are_answered) {
    auto& server = add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await sleep_for(30ms);
        co_await e.answer(200, "ok");
    });
    std::set<std::string> answered;
    bool stopped = false;
    const auto call_until_stopped = [&](bool keeps_connection) -> task<void> {
        while (!stopped) {
            raw_caller caller(context);
            co_await caller.connect(settings.listen);
            for (bool open = true; open && !stopped;) {
                const std::string bytes = request("GET", "/read/");
                co_await caller.send(bytes);
                const auto answer = co_await caller.read_answer(2s);
                if (answer) {
                    answered.insert(
                        bytes.substr(bytes.find("id-"), bytes.find("\r\nDeadline") - bytes.find("id-")));
                }
                open = keeps_connection && answer && answer->keep_alive();
            }
            co_await sleep_for(5ms);
        }
    };
    run([&]() -> task<void> {
        for (int i = 0; i < 20; ++i) {
            asio::co_spawn(context, call_until_stopped(i % 2 == 0), asio::detached);
        }
        co_await sleep_for(300ms);
        co_await router->stop();
        stopped = true;
        co_await sleep_for(300ms);
        EXPECT_GT(server.arrived().size(), 500U);
        for (const text_request& each : server.arrived()) {
            const std::string id(each["Attempt-Id"]);
            EXPECT_TRUE(answered.contains(id)) << id;
        }
    });
}

TEST_F(stop_test, idle_connections_are_closed) {
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("GET", "/read/"));
        co_await caller.read_answer();
        const auto started = std::chrono::steady_clock::now();
        co_await router->stop();
        co_await caller.read_to_end(2s);
        EXPECT_LT(std::chrono::steady_clock::now() - started, 4s);
    });
}

} // namespace
} // namespace eelgrassgw

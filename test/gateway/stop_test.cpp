/// Tests that a graceful stop finishes the requests in progress.

#include "gateway_fixture.h"

#include <set>
#include <thread>

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

/// The router finds the request's bytes and the time to close idle connections in the same turn of its event
/// loop, because the test blocks its thread in between.
TEST_F(stop_test, request_that_arrives_as_idle_connections_are_closed_is_answered) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await sleep_for(400ms);
        co_await e.answer(200, "ok");
    });
    run([&]() -> task<void> {
        const auto closing_time = std::chrono::steady_clock::now() + gateway_type::deregistration_delay;
        asio::co_spawn(context, router->stop(), asio::detached);
        co_await sleep_for(gateway_type::deregistration_delay - 200ms);
        raw_caller earlier_caller(context);
        co_await earlier_caller.connect(settings.listen);
        co_await earlier_caller.send(request("GET", "/read/"));
        co_await sleep_for(100ms);
        raw_caller caller(context);
        caller.connect_and_send_blocking(settings.listen, request("GET", "/read/"));
        std::this_thread::sleep_until(closing_time + 50ms);
        const auto answer = co_await caller.read_answer(2s);
        EXPECT_EQ("ok", answer ? answer->body() : "no answer");
    });
}

TEST_F(stop_test, request_that_is_read_after_the_last_answer_reaches_no_server) {
    const auto& server = add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        raw_caller caller(context);
        const std::string bytes = request("GET", "/read/", "", "body");
        const auto send_head = [&]() -> task<void> {
            co_await sleep_for(gateway_type::deregistration_delay - 600ms);
            co_await caller.connect(settings.listen);
            co_await caller.send(bytes.substr(0, bytes.size() - 4));
        };
        asio::co_spawn(context, send_head, asio::detached);
        co_await router->stop();
        co_await caller.send("body");
        const auto answer = co_await caller.read_answer();
        EXPECT_EQ(503U, answer ? answer->result_int() : 0);
        EXPECT_EQ(0U, server.arrived().size());
    });
}

/// Callers send late in a stop that a long request keeps open, on kept connections and on new ones.
TEST_F(stop_test, request_that_comes_late_in_a_stop_is_refused_and_reaches_no_server) {
    configure({{"/read/", "idempotent", "plain", 2, 6000}, {"/book/", "non_idempotent", "plain", 2, 6000}},
              2);
    const auto& server = add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        const bool is_long = e.request().target() == "/read/long";
        co_await sleep_for(is_long ? 4800ms : 10ms);
        co_await e.answer(200, is_long ? "late and whole" : "ok");
    });
    run([&]() -> task<void> {
        co_await sleep_for(200ms); // For the second configuration.
        raw_caller long_caller(context);
        co_await long_caller.connect(settings.listen);
        co_await long_caller.send(request("GET", "/read/long"));
        co_await sleep_for(50ms);
        asio::co_spawn(context, router->stop(), asio::detached);
        co_await sleep_for(gateway_type::refusal_delay + 200ms);
        const std::size_t before = server.arrived().size();
        for (const std::string& bytes : {request("POST", "/book/1", "", "body"), request("GET", "/read/1")}) {
            raw_caller caller(context);
            co_await caller.connect(settings.listen);
            co_await caller.send(bytes);
            const auto answer = co_await caller.read_answer(1s);
            EXPECT_EQ(503U, answer ? answer->result_int() : 0);
            co_await sleep_for(700ms);
        }
        EXPECT_EQ(before, server.arrived().size());
        EXPECT_EQ("late and whole", (co_await long_caller.read_answer())->body());
    });
}

/// A server works on until after the end of the stop.
TEST_F(stop_test, request_that_outlasts_the_stop_gets_a_final_answer) {
    configure({{"/read/", "idempotent", "plain", 2, 60000}, {"/book/", "non_idempotent", "plain", 2, 60000}},
              2);
    settings.stop_limit = std::chrono::seconds(4);
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await sleep_for(10s);
        co_await e.answer(200, "too late");
    });
    run([&]() -> task<void> {
        co_await sleep_for(200ms);
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("POST", "/book/1", "", "body"));
        co_await sleep_for(50ms);
        const auto started = std::chrono::steady_clock::now();
        co_await router->stop();
        EXPECT_LT(std::chrono::steady_clock::now() - started, settings.stop_limit);
        const auto answer = co_await caller.read_answer(200ms);
        EXPECT_EQ(504U, answer ? answer->result_int() : 0);
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

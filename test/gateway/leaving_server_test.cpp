/// Tests that backend servers which are leaving, or which ask for a pause, get no new requests.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// Returns a script that answers with `body` and states in the head that the server is leaving.
scripted_backend::script_type answering_as_leaving(std::string body) {
    return [body](backend_exchange& e) -> task<void> {
        co_await e.write(e.genuine_head(200) + "Server-Leaving: 1\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
    };
}

/// Returns a script that declines each request and asks for a pause with this Retry-After value.
scripted_backend::script_type pausing(std::string retry_after) {
    return [retry_after](backend_exchange& e) -> task<void> {
        co_await e.write("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + e.header("Attempt-Id") +
                         "\r\nNot-Executed: 1\r\nRetry-After: " + retry_after +
                         "\r\nContent-Length: 0\r\n\r\n");
    };
}

class leaving_server_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure(
            {{"/read/", "idempotent", "plain", 2}, {"/ask/", "streaming", "models", 1, 3000, true, false}});
    }

    /// Sends `n` lookups one after another and expects `status` for each.
    task<void> look_up(int n, unsigned status = 200) {
        for (int i = 0; i < n; ++i) {
            EXPECT_EQ(status, (co_await call(request("GET", "/read/")))->result_int());
        }
    }
};

TEST_F(leaving_server_test, server_that_said_it_is_leaving_gets_no_further_request) {
    auto& leaving = add_backend("s1", "plain", answering_as_leaving("last"));
    auto& other = add_backend("s2", "plain", answering("ok"));
    run([&]() -> task<void> {
        co_await look_up(20);
        EXPECT_EQ(1U, leaving.arrived().size());
        EXPECT_EQ(19U, other.arrived().size());
    });
}

TEST_F(leaving_server_test, notice_in_a_failure_counts_as_well) {
    auto& leaving = add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write(e.genuine_head(500) + "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
    });
    add_backend("s2", "plain", answering("ok"));
    run([&]() -> task<void> {
        co_await look_up(20);
        EXPECT_EQ(1U, leaving.arrived().size());
    });
}

TEST_F(leaving_server_test, answer_of_a_leaving_server_is_delivered_whole) {
    add_backend("s1", "plain", answering_as_leaving("last"));
    run([&]() -> task<void> {
        EXPECT_EQ("last", (co_await call(request("GET", "/read/")))->body());
        co_await look_up(1, 503);
    });
}

TEST_F(leaving_server_test, stream_of_a_leaving_server_is_finished) {
    auto& leaving = add_backend("s1", "models", [](backend_exchange& e) -> task<void> {
        co_await e.write(e.genuine_head(200) + "Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n"
                                               "Transfer-Encoding: chunked\r\n\r\n");
        for (int id = 1; id <= 5; ++id) {
            co_await e.piece("id: " + std::to_string(id) + "\ndata: x\n\n");
            co_await sleep_for(100ms);
        }
        co_await e.end();
    });
    run([&]() -> task<void> {
        const std::string headers = "Token-Counts: 100,60\r\nPrompt-Prefix: aa:10,bb:10\r\n";
        const auto answer = co_await call(request("POST", "/ask/", headers, "p"));
        EXPECT_TRUE(answer.has_value());
        EXPECT_EQ(1U, leaving.arrived().size());
    });
}

TEST_F(leaving_server_test, new_incarnation_of_a_server_that_left_gets_requests_again) {
    auto& server = add_backend("s1", "plain", answering_as_leaving("last"));
    announce("s1", "plain", server.address(), "ready", 1000);
    run([&]() -> task<void> {
        co_await look_up(1);
        announce("s1", "plain", server.address(), "ready", 1000);
        co_await sleep_for(200ms);
        co_await look_up(1, 503);
        announce("s1", "plain", server.address(), "ready", 2000);
        co_await sleep_for(300ms);
        co_await look_up(1);
        EXPECT_EQ(2U, server.arrived().size());
    });
}

TEST_F(leaving_server_test, server_that_asked_for_a_pause_gets_no_request_until_it_ends) {
    auto& paused = add_backend("s1", "plain", pausing("1.2"));
    add_backend("s2", "plain", answering("ok"));
    run([&]() -> task<void> {
        co_await look_up(10);
        EXPECT_EQ(1U, paused.arrived().size());
        co_await sleep_for(800ms);
        co_await look_up(10);
        EXPECT_EQ(1U, paused.arrived().size());
        co_await sleep_for(400ms);
        co_await look_up(10);
        EXPECT_EQ(2U, paused.arrived().size());
    });
}

TEST_F(leaving_server_test,
       request_is_refused_at_once_with_the_earliest_end_if_all_servers_asked_for_a_pause) {
    auto& first = add_backend("s1", "plain", pausing("5"));
    auto& second = add_backend("s2", "plain", pausing("2"));
    run([&]() -> task<void> {
        co_await look_up(1, 503);
        EXPECT_EQ(2U, first.arrived().size() + second.arrived().size());
        const auto started = std::chrono::steady_clock::now();
        const auto answer = co_await call(request("GET", "/read/"));
        EXPECT_EQ(503U, answer->result_int());
        EXPECT_LT(std::chrono::steady_clock::now() - started, 200ms);
        const double retry_after_s = std::stod(std::string((*answer)["Retry-After"]));
        EXPECT_GT(retry_after_s, 1.0);
        EXPECT_LE(retry_after_s, 2.0);
        EXPECT_EQ(2U, first.arrived().size() + second.arrived().size());
    });
}

} // namespace
} // namespace eelgrassgw

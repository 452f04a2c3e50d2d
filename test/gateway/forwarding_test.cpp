/// Tests that a caller gets the complete answer to its own request, or a failure.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class forwarding_test : public gateway_fixture {
protected:
    void SetUp() override { configure({{"/read/"}, {"/book/", "non_idempotent", "plain", 1}}); }
};

TEST_F(forwarding_test, method_path_query_and_body_reach_the_server_unchanged) {
    auto& server = add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        co_await call(request("POST", "/read/a%2Fb?x=1&y", "X-Own: kept\r\n", "the body"));
        EXPECT_EQ(1U, server.arrived().size());
        const text_request& received = server.arrived().at(0);
        EXPECT_EQ(http::verb::post, received.method());
        EXPECT_EQ("/read/a%2Fb?x=1&y", std::string(received.target()));
        EXPECT_EQ("the body", received.body());
        EXPECT_EQ("kept", std::string(received["X-Own"]));
    });
}

TEST_F(forwarding_test, server_receives_the_customer_and_not_the_key) {
    auto& server = add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        co_await call(request("GET", "/read/", "Tenant: stranger\r\nExpect-Instance: other\r\nHold: h\r\n"));
        const text_request& received = server.arrived().at(0);
        EXPECT_EQ("acme", std::string(received["Tenant"]));
        EXPECT_EQ("s1", std::string(received["Expect-Instance"]));
        EXPECT_EQ("", std::string(received["Authorization"]));
        EXPECT_EQ("", std::string(received["Hold"]));
    });
}

TEST_F(forwarding_test, deadline_sent_to_the_server_is_within_the_route_timeout) {
    auto& server = add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        co_await call(request("GET", "/read/"));
        const int deadline_ms = std::stoi(std::string(server.arrived().at(0)["Deadline-Ms"]));
        EXPECT_LE(deadline_ms, 3000); // The route's timeout is shorter than the caller's deadline.
        EXPECT_GT(deadline_ms, 2000);
    });
}

TEST_F(forwarding_test, status_seal_and_body_reach_the_caller_unchanged) {
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        const auto answer = co_await call(request("GET", "/read/"));
        EXPECT_TRUE(answer.has_value());
        EXPECT_EQ(200U, answer->result_int());
        EXPECT_EQ("seal", std::string((*answer)["Response-Seal"]));
        EXPECT_EQ("ok", answer->body());
    });
}

TEST_F(forwarding_test, chunked_request_arrives_complete) {
    auto& server = add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        co_await call(request("POST", "/read/", "Transfer-Encoding: chunked\r\n") +
                      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        EXPECT_EQ("abcde", server.arrived().at(0).body());
    });
}

TEST_F(forwarding_test, answer_that_ends_with_its_connection_is_complete) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write(e.genuine_head(200) + "Connection: close\r\n\r\nuntil the end");
        e.break_off(false);
    });
    run([&]() -> task<void> {
        const auto answer = co_await call(request("GET", "/read/"));
        EXPECT_TRUE(answer.has_value());
        EXPECT_EQ("until the end", answer->body());
    });
}

TEST_F(forwarding_test, truncated_answer_is_a_failure) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write(e.genuine_head(200) + "Content-Length: 100\r\n\r\nonly this");
        e.break_off(false);
    });
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_TRUE(answer.has_value());
        EXPECT_EQ(502U, answer->result_int());
    });
}

TEST_F(forwarding_test, unframed_answer_that_ends_with_a_reset_is_a_failure) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write(e.genuine_head(200) + "Connection: close\r\n\r\nonly this");
        co_await sleep_for(50ms);
        e.break_off(true);
    });
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_TRUE(answer.has_value());
        EXPECT_EQ(502U, answer->result_int());
    });
}

TEST_F(forwarding_test, success_without_a_seal_is_not_forwarded) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + e.header("Attempt-Id") +
                         "\r\nContent-Length: 2\r\n\r\nno");
    });
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_EQ(502U, answer->result_int());
    });
}

TEST_F(forwarding_test, answer_with_a_content_coding_is_not_forwarded) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write(e.genuine_head(200) + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nzz");
    });
    run([&]() -> task<void> {
        EXPECT_EQ(502U, (co_await call(request("POST", "/book/", "", "b")))->result_int());
    });
}

TEST_F(forwarding_test, answer_to_another_request_is_skipped) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write(
            "HTTP/1.1 200 OK\r\nAttempt-Id: stranger\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nwrong");
        co_await e.answer(200, "right");
    });
    run([&]() -> task<void> {
        EXPECT_EQ("right", (co_await call(request("POST", "/book/", "", "b")))->body());
    });
}

TEST_F(forwarding_test, connection_with_extra_bytes_is_not_reused) {
    auto& server = add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.answer(200, "ok");
        co_await e.write(
            "HTTP/1.1 200 OK\r\nAttempt-Id: extra\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nextra");
    });
    run([&]() -> task<void> {
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ("ok", (co_await call(request("POST", "/book/", "", "b")))->body());
            co_await sleep_for(20ms);
        }
        EXPECT_EQ(3, server.connections());
    });
}

/// The second copy arrives only once the connection carries the next request.
TEST_F(forwarding_test, late_second_copy_of_an_answer_does_not_reach_the_next_caller) {
    std::string earlier_answer;
    auto& server = add_backend("s1", "plain", [&](backend_exchange& e) -> task<void> {
        const std::string body = "answer to " + std::string(e.request().target());
        const std::string answer =
            e.genuine_head(200) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await e.write(std::exchange(earlier_answer, answer) + answer);
    });
    run([&]() -> task<void> {
        for (int i = 0; i < 6; ++i) {
            const std::string target = "/book/" + std::to_string(i);
            const auto answer = co_await call(request("POST", target, "", "b"));
            EXPECT_EQ("answer to " + target, answer ? answer->body() : "no answer");
        }
        EXPECT_LT(server.connections(), 6) << "no connection was in use again";
    });
}

TEST_F(forwarding_test, healthy_connection_to_a_server_is_reused) {
    auto& server = add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        for (int i = 0; i < 3; ++i) {
            co_await call(request("GET", "/read/"));
        }
        EXPECT_EQ(1, server.connections());
    });
}

TEST_F(forwarding_test, reply_that_is_not_http_is_a_failure) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write("this is not HTTP\r\n\r\n");
        e.break_off(false);
    });
    run([&]() -> task<void> {
        EXPECT_EQ(502U, (co_await call(request("POST", "/book/", "", "b")))->result_int());
    });
}

TEST_F(forwarding_test, server_may_answer_before_it_has_read_a_long_body) {
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        const std::string body(90000, 'x');
        EXPECT_EQ(200U, (co_await call(request("POST", "/book/", "", body)))->result_int());
    });
}

TEST_F(forwarding_test, requests_on_one_connection_are_answered_in_order) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.answer(200, std::string(e.request().target()));
    });
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("GET", "/read/1") + request("GET", "/read/2"));
        EXPECT_EQ("/read/1", (co_await caller.read_answer())->body());
        EXPECT_EQ("/read/2", (co_await caller.read_answer())->body());
    });
}

TEST_F(forwarding_test, connection_to_the_server_is_closed_within_half_a_second_after_the_caller_leaves) {
    bool closed = false;
    add_backend("s1", "plain",
                [&](backend_exchange& e) -> task<void> { closed = co_await e.closed_within(500ms); });
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("GET", "/read/"));
        co_await sleep_for(100ms);
        caller.close();
        co_await sleep_for(600ms);
        EXPECT_TRUE(closed);
    });
}

TEST_F(forwarding_test, request_to_a_server_that_does_not_answer_fails_at_the_route_timeout) {
    configure({{"/slow/", "idempotent", "plain", 2, 400}}, 2);
    add_backend("s1", "plain", [](backend_exchange&) -> task<void> { co_await sleep_for(3s); });
    run([&]() -> task<void> {
        const auto started = std::chrono::steady_clock::now();
        const auto answer = co_await call(request("GET", "/slow/"));
        EXPECT_EQ(504U, answer->result_int());
        EXPECT_LT(std::chrono::steady_clock::now() - started, 900ms);
    });
}

} // namespace
} // namespace eelgrassgw

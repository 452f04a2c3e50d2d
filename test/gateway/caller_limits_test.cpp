/// Tests the limits on what callers may send, and the answers to requests that exceed them.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class caller_limits_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/read/"}});
        server = &add_backend("s1", "plain", answering("ok"));
    }
    scripted_backend* server = nullptr;
};

TEST_F(caller_limits_test, large_head_is_refused) {
    run([&]() -> task<void> {
        const std::string headers = "X-Large: " + std::string(5000, 'x') + "\r\n";
        EXPECT_EQ(431U, (co_await call(request("GET", "/read/", headers)))->result_int());
    });
}

TEST_F(caller_limits_test, large_body_is_refused) {
    run([&]() -> task<void> {
        EXPECT_EQ(413U,
                  (co_await call(request("POST", "/read/", "", std::string(100001, 'x'))))->result_int());
    });
}

TEST_F(caller_limits_test, incomplete_head_ends_the_connection_after_the_timeout) {
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send("GET /read/ HTTP/1.1\r\nHost:");
        const auto started = std::chrono::steady_clock::now();
        co_await caller.read_to_end(2s);
        EXPECT_LT(std::chrono::steady_clock::now() - started, 1500ms);
    });
}

TEST_F(caller_limits_test, connection_is_kept_for_four_fifths_of_the_idle_limit) {
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("GET", "/read/"));
        EXPECT_TRUE((co_await caller.read_answer()).has_value());
        co_await sleep_for(2400ms);
        co_await caller.send(request("GET", "/read/"));
        EXPECT_TRUE((co_await caller.read_answer()).has_value());
    });
}

TEST_F(caller_limits_test, request_with_two_framings_is_refused) {
    run([&]() -> task<void> {
        const auto answer = co_await call(
            request("POST", "/read/", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n");
        EXPECT_EQ(400U, answer->result_int());
        EXPECT_TRUE(server->arrived().empty());
    });
}

TEST_F(caller_limits_test, unknown_transfer_coding_is_refused) {
    run([&]() -> task<void> {
        EXPECT_EQ(400U,
                  (co_await call(request("POST", "/read/", "Transfer-Encoding: gzip\r\n")))->result_int());
        EXPECT_TRUE(server->arrived().empty());
    });
}

TEST_F(caller_limits_test, request_inside_a_body_is_not_served) {
    run([&]() -> task<void> {
        const std::string inner = "GET /read/smuggled HTTP/1.1\r\nHost: a.example\r\n\r\n";
        co_await call(request("POST", "/read/", "", inner));
        EXPECT_EQ(1U, server->arrived().size());
        EXPECT_EQ(inner, server->arrived().at(0).body());
    });
}

TEST_F(caller_limits_test, request_without_an_id_is_refused) {
    run([&]() -> task<void> {
        const auto answer = co_await call("GET /read/ HTTP/1.1\r\nHost: a.example\r\n\r\n");
        EXPECT_EQ(400U, answer->result_int());
    });
}

} // namespace
} // namespace eelgrassgw

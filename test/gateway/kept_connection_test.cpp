/// Tests that every request on a kept connection is served, however its bytes meet the end of the one before.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

constexpr int requests_per_connection = 20;

class kept_connection_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure(
            {{"/read/", "idempotent", "plain", 2, 1000}, {"/book/", "non_idempotent", "plain", 1, 1000}});
        server = &add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
            co_await e.answer(200, "ok " + std::string(e.request().target()));
        });
    }

    static std::string booking(int n) { return request("POST", "/book/" + std::to_string(n), "", "body"); }

    /// Reads the answer to the booking with this number.
    static task<void> expect_answer(raw_caller& caller, int n) {
        const auto answer = co_await caller.read_answer(2s);
        EXPECT_EQ("ok /book/" + std::to_string(n), answer ? answer->body() : "no answer");
    }

    /// Expects that no request is in progress and that no session is stalled.
    task<void> expect_rest() {
        co_await sleep_for(gateway_type::maintenance_interval + 100ms);
        EXPECT_NE(std::string::npos, metrics.text().find("requests_running 0")) << metrics.text();
    }

    scripted_backend* server = nullptr;
};

/// Guards against a request that is read and forgotten: the caller's task runs before the router's callers'
/// work, so the next request arrives between the write of an answer and the handler of that write.
TEST_F(kept_connection_test, request_that_arrives_before_the_end_of_the_last_answer_is_noted_is_served) {
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        for (int n = 1; n <= requests_per_connection && !HasFailure(); ++n) {
            co_await caller.send(booking(n));
            co_await expect_answer(caller, n);
        }
        EXPECT_EQ(std::size_t(requests_per_connection), server->arrived().size());
        co_await expect_rest();
    });
}

/// Guards against the same with requests that wait in the session's buffer.
TEST_F(kept_connection_test, requests_that_arrive_in_one_write_are_served_in_order) {
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        for (int n = 1; n <= requests_per_connection && !HasFailure(); n += 2) {
            co_await caller.send(booking(n) + booking(n + 1));
            co_await expect_answer(caller, n);
            co_await expect_answer(caller, n + 1);
        }
        std::string all;
        for (int n = 1; n <= requests_per_connection; ++n) {
            all += booking(n);
        }
        co_await caller.send(all);
        for (int n = 1; n <= requests_per_connection && !HasFailure(); ++n) {
            co_await expect_answer(caller, n);
        }
        co_await expect_rest();
    });
}

/// Guards against bytes of the next request that are lost or left, wherever it is split. The first piece
/// arrives with the request before, the second one behind its answer.
TEST_F(kept_connection_test, request_that_arrives_in_two_pieces_is_served_wherever_it_is_split) {
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        const std::size_t length = booking(2).size();
        for (std::size_t split = 1; split < length && !HasFailure(); split += 7) {
            const std::string second = booking(2);
            co_await caller.send(booking(1) + second.substr(0, split));
            co_await expect_answer(caller, 1);
            co_await caller.send(second.substr(split));
            co_await expect_answer(caller, 2);
        }
        co_await expect_rest();
    });
}

TEST_F(kept_connection_test, refused_requests_that_arrive_together_are_answered_in_order) {
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("GET", "/none/1") + booking(1) + request("GET", "/none/2") + booking(2));
        for (int n = 1; n <= 2; ++n) {
            const auto refused = co_await caller.read_answer(2s);
            EXPECT_EQ(404U, refused ? refused->result_int() : 0);
            co_await expect_answer(caller, n);
        }
        co_await expect_rest();
    });
}

/// Guards against a session that waits for ever and so holds up the stop until its limit.
TEST_F(kept_connection_test, graceful_stop_does_not_wait_for_callers_that_send_without_a_pause) {
    bool stopped = false;
    run([&]() -> task<void> {
        const auto call_without_a_pause = [&]() -> task<void> {
            raw_caller caller(context);
            co_await caller.connect(settings.listen);
            for (int n = 1; !stopped; ++n) {
                co_await caller.send(booking(n));
                const auto answer = co_await caller.read_answer(1s);
                if (!answer || !answer->keep_alive()) {
                    break;
                }
            }
        };
        for (int i = 0; i < 8; ++i) {
            asio::co_spawn(context, call_without_a_pause, asio::detached);
        }
        co_await sleep_for(200ms);
        const auto started = std::chrono::steady_clock::now();
        co_await router->stop();
        stopped = true;
        EXPECT_LT(std::chrono::steady_clock::now() - started, gateway_type::deregistration_delay + 1s);
    });
}

class leaving_caller_test : public gateway_fixture {
protected:
    static constexpr auto notice_time = 500ms; ///< Time after which the server must not work any more.
};

/// Guards against a caller whose leaving stays unseen behind its next requests, so that its server works on.
TEST_F(leaving_caller_test, caller_that_leaves_behind_bytes_that_were_read_ahead_ends_its_request) {
    configure({{"/read/", "idempotent", "plain", 1, 5000}});
    bool is_given_up = false;
    add_backend("s1", "plain",
                [&](backend_exchange& e) -> task<void> { is_given_up = co_await e.closed_within(2s); });
    run([&]() -> task<void> {
        for (const std::size_t bytes_behind : {0U, 1U, 64U << 10U, 100U << 10U}) {
            is_given_up = false;
            raw_caller caller(context);
            co_await caller.connect(settings.listen);
            co_await caller.send(request("GET", "/read/") + std::string(bytes_behind, 'x'));
            co_await sleep_for(100ms);
            EXPECT_FALSE(is_given_up);
            caller.close();
            co_await sleep_for(notice_time);
            EXPECT_TRUE(is_given_up) << bytes_behind << " bytes behind the request";
        }
    });
}

/// Guards against a caller that does not read and holds its request up beyond its time, and with it the
/// places and the graceful stop.
TEST_F(leaving_caller_test, caller_that_does_not_read_its_answer_is_given_up_at_the_timeout) {
    configure({{"/read/", "idempotent", "plain", 1, 400}});
    add_backend("s1", "plain", answering(std::string(16U << 20U, 'a')));
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("GET", "/read/") + request("GET", "/read/"));
        co_await sleep_for(400ms + 2 * gateway_type::maintenance_interval);
        EXPECT_NE(std::string::npos, metrics.text().find("requests_running 0")) << metrics.text();
        EXPECT_EQ(std::nullopt,
                  co_await caller.read_answer(2s)); // It is cut, and cannot be taken for a whole one.
    });
}

} // namespace
} // namespace eelgrassgw

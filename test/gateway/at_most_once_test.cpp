/// Tests that a non-idempotent request runs at most once, and that a refusal with status 503 is given only if
/// the request has not run.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class at_most_once_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/read/", "idempotent", "plain", 2},
                   {"/book/", "non_idempotent", "plain", 2},
                   {"/book-once/", "non_idempotent", "plain", 1}});
    }

    std::size_t count_arrived_requests() const {
        std::size_t n = 0;
        for (const auto& each : backends) {
            n += each->arrived().size();
        }
        return n;
    }
};

TEST_F(at_most_once_test, booking_whose_answer_was_lost_is_not_sent_again) {
    add_backend("s1", "plain", resetting());
    add_backend("s2", "plain", resetting());
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_EQ(502U, answer->result_int());
        EXPECT_EQ(1U, count_arrived_requests());
    });
}

TEST_F(at_most_once_test, booking_whose_server_failed_is_not_sent_again) {
    const auto failing = [](backend_exchange& e) -> task<void> {
        co_await e.answer(500, "failed");
    };
    add_backend("s1", "plain", failing);
    add_backend("s2", "plain", failing);
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_EQ(500U, answer->result_int());
        EXPECT_EQ("seal", std::string((*answer)["Response-Seal"]));
        EXPECT_EQ(1U, count_arrived_requests());
    });
}

TEST_F(at_most_once_test, declined_booking_goes_to_the_next_server) {
    add_backend("s1", "plain", declining());
    add_backend("s2", "plain", answering("booked"));
    run([&]() -> task<void> {
        for (int i = 0; i < 4; ++i) {
            EXPECT_EQ("booked", (co_await call(request("POST", "/book/", "", "b")))->body());
        }
    });
}

TEST_F(at_most_once_test, booking_goes_to_no_more_servers_than_its_route_allows) {
    add_backend("s1", "plain", declining());
    add_backend("s2", "plain", declining());
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book-once/", "", "b"));
        EXPECT_EQ(503U, answer->result_int());
        EXPECT_EQ(1U, count_arrived_requests());
    });
}

TEST_F(at_most_once_test, request_declined_by_every_server_is_refused_with_retry_after) {
    add_backend("s1", "plain", declining());
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_EQ(503U, answer->result_int());
        EXPECT_NE("", std::string((*answer)["Retry-After"]));
    });
}

TEST_F(at_most_once_test, lookup_whose_answer_was_lost_is_sent_again) {
    add_backend("s1", "plain", resetting());
    add_backend("s2", "plain", answering("found"));
    run([&]() -> task<void> {
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ("found", (co_await call(request("GET", "/read/")))->body());
        }
    });
}

TEST_F(at_most_once_test, lookup_that_may_have_run_is_never_reported_as_not_run) {
    add_backend("s1", "plain", resetting());
    add_backend("s2", "plain", declining());
    run([&]() -> task<void> {
        for (int i = 0; i < 4; ++i) {
            const std::size_t arrived_before = backends[0]->arrived().size();
            const auto answer = co_await call(request("GET", "/read/"));
            const bool may_have_run = backends[0]->arrived().size() > arrived_before;
            EXPECT_EQ(may_have_run ? 502U : 503U, answer->result_int());
        }
    });
}

TEST_F(at_most_once_test, unreachable_server_does_not_count_as_an_attempt) {
    announce("gone", "plain", next_loopback_address(), "ready");
    add_backend("s1", "plain", answering("booked"));
    run([&]() -> task<void> {
        for (int i = 0; i < 4; ++i) {
            EXPECT_EQ("booked", (co_await call(request("POST", "/book-once/", "", "b")))->body());
        }
    });
}

TEST_F(at_most_once_test, address_used_by_another_server_is_skipped) {
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        co_await e.write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + e.header("Attempt-Id") +
                         "\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n");
    });
    add_backend("s2", "plain", answering("booked"));
    run([&]() -> task<void> {
        for (int i = 0; i < 4; ++i) {
            EXPECT_EQ("booked", (co_await call(request("POST", "/book-once/", "", "b")))->body());
        }
    });
}

TEST_F(at_most_once_test, retries_stay_within_the_retry_budget) {
    add_backend("s1", "plain", declining());
    add_backend("s2", "plain", declining());
    run([&]() -> task<void> {
        constexpr int calls = 100;
        for (int i = 0; i < calls; ++i) {
            co_await call(request("GET", "/read/"));
        }
        const double max_retries =
            settings.retries.retries_per_request * calls + settings.retries.extra_retries;
        EXPECT_LE(double(count_arrived_requests()) - calls, max_retries);
    });
}

} // namespace
} // namespace eelgrassgw

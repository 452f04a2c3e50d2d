/// Tests that only a refusal which belongs to a request proves that the request was not run.

#include "event_stream.h"
#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// A refusal that a faulty server writes once more on a kept connection, before its answer to the next
/// request.
struct late_refusal {
    const char* name;
    std::string head; ///< First line and fields, without the length.
};

std::string to_bytes(const std::string& head) {
    return "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n";
}

class late_refusal_fixture : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/book/", "non_idempotent", "plain", 1},
                   {"/read/", "idempotent", "plain", 2},
                   {"/draft/", "streaming", "models", 1, 3000, true, false}});
    }

    std::size_t count_arrived_requests() const {
        std::size_t n = 0;
        for (const auto& each : backends) {
            n += each->arrived().size();
        }
        return n;
    }
};

class late_refusal_test : public late_refusal_fixture, public ::testing::WithParamInterface<late_refusal> {
protected:
    /// Returns a script that writes the refusal before the answer to each request but the first one of a
    /// connection, and runs all of them.
    scripted_backend::script_type refusing_late(scripted_backend::script_type answer) {
        return [answer](backend_exchange& e) -> task<void> {
            if (!e.is_first_on_connection()) {
                co_await e.write(to_bytes(GetParam().head));
            }
            co_await sleep_for(20ms);
            co_await answer(e);
        };
    }
};

TEST_P(late_refusal_test, booking_is_answered_by_the_server_that_runs_it) {
    add_backend("s1", "plain", refusing_late(answering("booked")));
    add_backend("s2", "plain", refusing_late(answering("booked")));
    run([&]() -> task<void> {
        constexpr std::size_t bookings = 8;
        for (std::size_t i = 0; i < bookings; ++i) {
            const auto answer = co_await call(request("POST", "/book/", "", "b"));
            EXPECT_EQ("booked", answer ? answer->body() : "no answer");
        }
        EXPECT_EQ(bookings, count_arrived_requests());
    });
}

TEST_P(late_refusal_test, stream_is_answered_by_the_server_that_runs_it) {
    add_backend("s1", "models", refusing_late([](backend_exchange& e) -> task<void> {
                    co_await e.start_stream();
                    co_await e.piece(events(1, 3));
                    co_await e.end();
                }));
    run([&]() -> task<void> {
        for (int i = 0; i < 6; ++i) {
            const auto answer = co_await call(request("POST", "/draft/", prompt_headers, "p"));
            EXPECT_EQ(events(1, 3), answer ? answer->body() : "no answer");
        }
    });
}

TEST_P(late_refusal_test, request_without_an_answer_is_not_said_to_be_not_run) {
    add_backend("s1", "plain", [n = 0](backend_exchange& e) mutable -> task<void> {
        if (e.is_first_on_connection()) {
            co_await e.answer(200, "ok");
            co_return;
        }
        co_await e.write(to_bytes(GetParam().head));
        co_await sleep_for(20ms);
        e.break_off(true);
    });
    run([&]() -> task<void> {
        co_await call(request("POST", "/book/", "", "b"));
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_EQ(502U, answer ? answer->result_int() : 0);
    });
}

INSTANTIATE_TEST_SUITE_P(
    kinds, late_refusal_test,
    ::testing::Values(late_refusal{"not_executed", "503 Service Unavailable\r\nNot-Executed: 1"},
                      late_refusal{"wrong_server", "421 Misdirected Request\r\nInstance-Id: i-1"},
                      late_refusal{"too_many", "429 Too Many Requests\r\nNot-Executed: 1"},
                      late_refusal{"timeout", "408 Request Timeout"},
                      late_refusal{"failed", "500 Internal Server Error"},
                      late_refusal{"bad_request", "400 Bad Request\r\nNot-Executed: 1"},
                      late_refusal{"of_another_request",
                                   "503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: earlier"},
                      late_refusal{"wrong_server_of_another_request",
                                   "421 Misdirected Request\r\nAttempt-Id: earlier"}),
    [](const auto& info) { return std::string(info.param.name); });

class unproved_refusal_test : public late_refusal_fixture,
                              public ::testing::WithParamInterface<const char*> {};

// A server that has run the request, or may have, must not have its caller told the contrary.
TEST_P(unproved_refusal_test, refusal_without_a_proof_is_not_passed_on) {
    for (const char* id : {"s1", "s2"}) {
        add_backend(id, "plain", [](backend_exchange& e) -> task<void> {
            co_await e.write(to_bytes(std::string(GetParam()) + " Refused\r\nAttempt-Id: " +
                                      e.header("Attempt-Id") + "\r\nResponse-Seal: seal"));
        });
    }
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_EQ(502U, answer ? answer->result_int() : 0);
        EXPECT_TRUE(answer && (*answer)["Response-Seal"].empty());
        EXPECT_EQ(1U, count_arrived_requests());
    });
}

INSTANTIATE_TEST_SUITE_P(statuses, unproved_refusal_test, ::testing::Values("408", "429", "503"));

using first_request_test = late_refusal_fixture;

// A server repeats the id of a request in each answer, so a refusal without one may have been written before
// the request was read.
TEST_F(first_request_test, refusal_without_an_id_is_no_proof_and_leads_to_no_other_server) {
    for (const char* id : {"s1", "s2", "s3", "s4"}) {
        add_backend(id, "plain", [](backend_exchange& e) -> task<void> {
            co_await e.write(
                "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            e.break_off(false);
        });
    }
    configure({{"/book/", "non_idempotent", "plain", 4}}, 2);
    run([&]() -> task<void> {
        const auto answer = co_await call(request("POST", "/book/", "", "b"));
        EXPECT_EQ(502U, answer ? answer->result_int() : 0);
        EXPECT_EQ(1U, count_arrived_requests());
    });
}

} // namespace
} // namespace eelgrassgw

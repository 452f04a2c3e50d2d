/// Tests that a caller is told "not run" only with a proof that belongs to exactly one send of its request.

#include "event_stream.h"
#include "gateway_fixture.h"

#include <array>
#include <map>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class refusal_proof_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/book/", "non_idempotent", "plain", 3},
                   {"/draft/", "streaming", "models", 1, 3000, true, false}});
    }

    /// Returns a refusal of this request; `refusal` holds its status and header lines.
    static std::string refusal_of(backend_exchange& e, const std::string& refusal) {
        return "HTTP/1.1 " + refusal + "Attempt-Id: " + e.header("Attempt-Id") +
               "\r\nContent-Length: 0\r\n\r\n";
    }

    /// Returns a script that counts a run of the request, and then does what `answer` does.
    scripted_backend::script_type running(scripted_backend::script_type answer) {
        return [this, answer](backend_exchange& e) -> task<void> {
            ++runs[e.header("Attempt-Id")];
            co_await answer(e);
        };
    }

    /// Sends a request with this id, and expects that it runs once at most, and not at all if its caller is
    /// told so. Returns the status of the answer.
    task<unsigned> send_checked(std::string path, std::string id) {
        const auto answer = co_await call(request_with_id(path, id, 2000ms));
        const unsigned status = answer ? answer->result_int() : 0;
        expect_kept_promise(id, status);
        co_return status;
    }

    /// Sends a request twice at once with the same id, the second time with a deadline that has passed, and
    /// expects the same of both.
    task<void> send_checked_twice_at_once(std::string path, std::string id) {
        raw_caller first(context);
        raw_caller second(context);
        first.connect_and_send_blocking(settings.listen, request_with_id(path, id, 2000ms));
        second.connect_and_send_blocking(settings.listen, request_with_id(path, id, 0ms));
        const auto second_answer = co_await second.read_answer();
        const auto first_answer = co_await first.read_answer();
        expect_kept_promise(id, first_answer ? first_answer->result_int() : 0);
        expect_kept_promise(id, second_answer ? second_answer->result_int() : 0);
    }

    static std::string request_with_id(const std::string& path, const std::string& id,
                                       std::chrono::milliseconds deadline) {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
               "\r\nDeadline-Ms: " + std::to_string(deadline.count()) +
               "\r\nAuthorization: Bearer key-1\r\n" + (path == "/draft/" ? prompt_headers : "") +
               "Content-Length: 1\r\n\r\nb";
    }

    /// Expects that a request ran once at most, and not at all if its caller got a status that says so.
    void expect_kept_promise(const std::string& id, unsigned status) {
        EXPECT_LE(runs[id], 1) << id;
        EXPECT_TRUE(runs[id] == 0 || !contains(promising_statuses, status))
            << id << " ran although its caller got status " << status;
    }

    static bool contains(const std::array<unsigned, 4>& statuses, unsigned status) {
        return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
    }

    static constexpr std::array promising_statuses = {408U, 421U, 429U, 503U};
    std::map<std::string, int> runs; ///< Number of runs by the id of the request.
};

TEST_F(refusal_proof_test, refusal_that_a_server_repeats_for_the_next_send_of_the_request_proves_nothing) {
    for (int i = 0; i < 8; ++i) {
        const std::string id = "s" + std::to_string(i);
        const std::string earlier_id = "earlier-" + id;
        const auto script = [this, id](backend_exchange& e) -> task<void> {
            if (e.header("Expect-Instance") != id) {
                e.connection_note() = refusal_of(e, "421 Misdirected Request\r\n");
                co_await e.write(e.connection_note());
                co_return;
            }
            if (!e.connection_note().empty()) {
                co_await e.write(std::exchange(e.connection_note(), std::string()));
            }
            ++runs[e.header("Attempt-Id")];
            co_await sleep_for(20ms);
            co_await e.answer(200, "booked");
        };
        scripted_backend& restarted = add_backend(id, "plain", script);
        announce(earlier_id, "plain", restarted.address(),
                 "ready"); // Its heartbeats have not been missed yet.
    }
    run([&]() -> task<void> {
        for (int i = 0; i < 40; ++i) {
            co_await send_checked("/book/", "b" + std::to_string(i));
        }
    });
}

TEST_F(refusal_proof_test, refusal_that_a_server_repeats_when_the_caller_repeats_proves_nothing) {
    add_backend("s1", "plain", [this](backend_exchange& e) -> task<void> {
        if (e.is_first_on_connection()) {
            e.connection_note() = refusal_of(e, "503 Service Unavailable\r\nNot-Executed: 1\r\n");
            co_await e.write(e.connection_note());
            co_return;
        }
        ++runs[e.header("Attempt-Id")];
        co_await e.write(e.connection_note());
        co_await e.answer(200, "booked");
    });
    run([&]() -> task<void> {
        EXPECT_EQ(503U, co_await send_checked("/book/", "b"));
        co_await sleep_for(400ms);
        co_await send_checked("/book/", "b");
    });
}

TEST_F(refusal_proof_test, request_that_may_have_run_is_not_said_to_be_not_run_when_its_caller_repeats_it) {
    add_backend("s1", "plain", running(resetting()));
    run([&]() -> task<void> {
        EXPECT_EQ(502U, co_await send_checked("/book/", "b"));
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(502U, co_await send_checked("/book/", "b"));
            co_await sleep_for(300ms); // The server is avoided for a while after a reset.
        }
    });
}

TEST_F(refusal_proof_test, request_at_a_paused_server_is_not_said_to_be_not_run_when_its_caller_repeats_it) {
    scripted_backend& paused = add_backend("s1", "plain", running(answering("booked")));
    run([&]() -> task<void> {
        paused.pause();
        EXPECT_EQ(504U, co_await send_checked("/book/", "b"));
        co_await send_checked("/book/", "b");
        paused.resume();
        co_await sleep_for(500ms);
        EXPECT_EQ(1, runs["b"]) << "the server reads what it has received, also after a reset";
        EXPECT_EQ(502U, co_await send_checked("/book/", "b"));
    });
}

TEST_F(refusal_proof_test, booking_is_not_said_to_be_not_run_while_an_earlier_attempt_is_about_to_be_sent) {
    add_backend("s1", "plain", running(answering("booked")));
    run([&]() -> task<void> {
        for (int i = 0; i < 10; ++i) {
            co_await send_checked_twice_at_once("/book/", "b" + std::to_string(i));
        }
    });
}

TEST_F(refusal_proof_test, stream_is_not_said_to_be_not_run_while_an_earlier_attempt_waits_for_its_budget) {
    add_backend("s1", "models", running(answering("id: 1\ndata: a\n\n")));
    run([&]() -> task<void> { co_await send_checked_twice_at_once("/draft/", "d"); });
}

TEST_F(refusal_proof_test, request_that_crashes_its_servers_is_said_to_be_not_run_only_if_it_reached_none) {
    constexpr int server_count = 3;
    for (int i = 0; i < server_count; ++i) {
        add_backend("s" + std::to_string(i), "models", running([this, i](backend_exchange& e) -> task<void> {
                        backends.at(std::size_t(i))->stop_listening();
                        e.break_off(true);
                        co_return;
                    }));
    }
    run([&]() -> task<void> {
        int refused = 0;
        for (int i = 0; i < 8; ++i) {
            refused += co_await send_checked("/draft/", "d" + std::to_string(i)) == 503U ? 1 : 0;
            co_await sleep_for(100ms);
        }
        EXPECT_EQ(8 - server_count, refused);
    });
}

/// The head of an answer that a server gives although it has run the request.
struct unsound_refusal {
    const char* name;
    std::string head;
    bool names_request;
};

class unsound_refusal_test : public refusal_proof_test,
                             public ::testing::WithParamInterface<unsound_refusal> {
protected:
    scripted_backend::script_type refusing() {
        return running([](backend_exchange& e) -> task<void> {
            const unsound_refusal& refusal = GetParam();
            const std::string id =
                refusal.names_request ? "Attempt-Id: " + e.header("Attempt-Id") + "\r\n" : "";
            co_await e.write("HTTP/1.1 " + refusal.head + id + "Content-Length: 0\r\n\r\n");
        });
    }
};

TEST_P(unsound_refusal_test, booking_is_not_said_to_be_not_run) {
    add_backend("s1", "plain", refusing());
    run([&]() -> task<void> { EXPECT_LE(500U, co_await send_checked("/book/", "b")); });
}

TEST_P(unsound_refusal_test, stream_is_not_said_to_be_not_run) {
    add_backend("s1", "models", refusing());
    run([&]() -> task<void> { EXPECT_LE(500U, co_await send_checked("/draft/", "d")); });
}

INSTANTIATE_TEST_SUITE_P(
    heads, unsound_refusal_test,
    ::testing::Values(
        unsound_refusal{"unnamed_503", "503 Service Unavailable\r\nNot-Executed: 1\r\n", false},
        unsound_refusal{"unnamed_429", "429 Too Many Requests\r\nNot-Executed: 1\r\n", false},
        unsound_refusal{"unnamed_421", "421 Misdirected Request\r\nInstance-Id: other\r\n", false},
        unsound_refusal{"unnamed_408", "408 Request Timeout\r\n", false},
        unsound_refusal{"wrong_server_that_is_the_right_one",
                        "421 Misdirected Request\r\nInstance-Id: s1\r\n", true},
        unsound_refusal{"success_that_was_not_executed",
                        "200 OK\r\nNot-Executed: 1\r\nResponse-Seal: seal\r\n", true},
        unsound_refusal{"timeout_that_was_not_executed", "504 Gateway Timeout\r\nNot-Executed: 1\r\n", true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(refusal_proof_test, refusal_that_names_the_request_leads_to_the_next_server) {
    constexpr std::array refusals = {"421 Misdirected Request\r\n",
                                     "503 Service Unavailable\r\nNot-Executed: 1\r\n"};
    for (std::size_t i = 0; i < refusals.size(); ++i) {
        add_backend("s" + std::to_string(i), "plain",
                    [refusal = refusals.at(i)](backend_exchange& e) -> task<void> {
                        co_await e.write(refusal_of(e, refusal));
                    });
    }
    add_backend("s2", "plain", running(answering("booked")));
    run([&]() -> task<void> { EXPECT_EQ(200U, co_await send_checked("/book/", "b")); });
}

} // namespace
} // namespace eelgrassgw

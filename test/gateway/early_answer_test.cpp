/// Tests answers that a backend server writes while the request's body is still being sent to it: what is cut
/// by a reset never looks complete, and what is whole reaches the caller at once.

#include "event_stream.h"
#include "program_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// More than the buffers of the connection between the router and a server hold.
constexpr std::size_t upload_bytes = 12U << 20U;

/// Time within which the caller gets an answer that has arrived; well below the timeouts of the routes.
constexpr auto prompt_answer_time = 1500ms;

/// How the server frames its answer.
enum class answer_framing { length, chunked, connection_end };

/// What the server does after it has written its bytes.
enum class answer_end {
    reset,
    end_in_order, ///< Only its own side: the connection stays, as for a server that reads on later.
    end_in_order_then_reset,
    close_without_unread_bytes, ///< The end in order comes before the reset of what arrives after the close.
    nothing
};

struct early_answer {
    const char* name;
    answer_framing framing;
    bool whole; ///< Whether the server writes the whole body.
    answer_end end;
    bool reaches_caller; ///< Whether the caller gets the answer as a complete one.
};

const early_answer answers[] = {
    {"cut_unframed_reset", answer_framing::connection_end, false, answer_end::reset, false},
    {"whole_unframed_reset", answer_framing::connection_end, true, answer_end::reset, false},
    {"unframed_ended_in_order", answer_framing::connection_end, true, answer_end::end_in_order, true},
    {"unframed_ended_in_order_and_reset", answer_framing::connection_end, true,
     answer_end::end_in_order_then_reset, true},
    {"cut_unframed_closed", answer_framing::connection_end, false, answer_end::close_without_unread_bytes,
     false},
    {"whole_unframed_closed", answer_framing::connection_end, true, answer_end::close_without_unread_bytes,
     false},
    {"whole_length_closed", answer_framing::length, true, answer_end::close_without_unread_bytes, true},
    {"whole_chunks_closed", answer_framing::chunked, true, answer_end::close_without_unread_bytes, true},
    {"cut_length_reset", answer_framing::length, false, answer_end::reset, false},
    {"cut_length_ended_in_order", answer_framing::length, false, answer_end::end_in_order, false},
    {"whole_length_reset", answer_framing::length, true, answer_end::reset, true},
    {"whole_length_and_nothing", answer_framing::length, true, answer_end::nothing, true},
    {"cut_chunks_reset", answer_framing::chunked, false, answer_end::reset, false},
    {"cut_chunks_ended_in_order", answer_framing::chunked, false, answer_end::end_in_order, false},
    {"whole_chunks_reset", answer_framing::chunked, true, answer_end::reset, true},
    {"whole_chunks_and_nothing", answer_framing::chunked, true, answer_end::nothing, true},
};

task<void> end_answer(backend_exchange& e, answer_end end) {
    if (end == answer_end::end_in_order || end == answer_end::end_in_order_then_reset) {
        e.end_in_order();
        co_await sleep_for(300ms); // The router has judged the answer.
    }
    if (end == answer_end::close_without_unread_bytes) {
        e.end_in_order();
    }
    if (end != answer_end::end_in_order && end != answer_end::nothing) {
        e.break_off(true);
    }
    co_await sleep_for(5s);
}

/// Returns a script that answers with two events, or with the first of them if the answer is cut.
scripted_backend::script_type answering_early(const early_answer& answer) {
    return [answer](backend_exchange& e) -> task<void> {
        const std::string body = events(1, 2);
        const std::string written = answer.whole ? body : events(1, 1);
        std::string head = e.genuine_head(200) + "Content-Type: text/event-stream\r\n";
        if (answer.framing == answer_framing::length) {
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        } else if (answer.framing == answer_framing::chunked) {
            head += "Transfer-Encoding: chunked\r\n";
        }
        co_await e.write(head + "\r\n");
        if (answer.framing == answer_framing::chunked) {
            co_await e.piece(written);
        } else {
            co_await e.write(written);
        }
        if (answer.framing == answer_framing::chunked && answer.whole) {
            co_await e.end();
        }
        co_await sleep_for(50ms); // The router has read what was written.
        co_await end_answer(e, answer.end);
    };
}

class early_answer_fixture : public program_fixture {
protected:
    void SetUp() override {
        max_body_bytes = 2 * upload_bytes;
        configure({{"/read/", "idempotent", "plain", 1, 4000},
                   {"/book/", "non_idempotent", "plain", 2, 4000},
                   {"/ask/", "streaming", "plain", 1, 4000, true, false},
                   {"/resumable/", "streaming", "plain", 1, 4000, true, true}},
                  1, 1000000);
    }

    static std::string upload(const std::string& target) {
        return request("POST", target, prompt_headers, std::string(upload_bytes, 'u'));
    }

    /// Sends an upload and returns the answer; nothing if the caller got none that is complete.
    task<std::optional<text_reply>> call_in_time(std::string target) {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(upload(target));
        const auto sent_at = std::chrono::steady_clock::now();
        auto answer = co_await caller.read_answer();
        EXPECT_LT(std::chrono::steady_clock::now() - sent_at, prompt_answer_time) << target;
        co_return answer;
    }
};

class early_answer_test : public early_answer_fixture, public ::testing::WithParamInterface<early_answer> {};

TEST_P(early_answer_test, caller_gets_it_as_complete_only_if_it_is_whole) {
    add_backend("s1", "plain", answering_early(GetParam()), script_start::after_head);
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        for (const std::string target : {"/read/1", "/book/1", "/ask/1", "/resumable/1"}) {
            const std::size_t arrived_before = backends[0]->arrived().size();
            const auto answer = co_await call_in_time(target);
            if (GetParam().reaches_caller) {
                EXPECT_EQ(events(1, 2), answer ? answer->body() : "no whole answer") << target;
            } else {
                EXPECT_FALSE(answer && answer->result_int() < 500) << target << ": " << answer->body();
            }
            EXPECT_EQ(arrived_before + 1, backends[0]->arrived().size()) << target << " was repeated";
        }
    });
}

INSTANTIATE_TEST_SUITE_P(answers, early_answer_test, ::testing::ValuesIn(answers),
                         [](const auto& info) { return std::string(info.param.name); });

TEST_F(early_answer_fixture, idempotent_upload_whose_answer_was_cut_is_sent_to_another_server) {
    configure({{"/read/", "idempotent", "plain", 2, 4000}}, 2);
    add_backend("s1", "plain", answering_early(answers[0]), script_start::after_head);
    add_backend("s2", "plain", answering("whole"));
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        for (int i = 0; i < 4; ++i) {
            const auto answer = co_await call_in_time("/read/1");
            EXPECT_EQ("whole", answer ? answer->body() : "no whole answer");
        }
    });
}

/// The server wants no body of a request that it has refused, and never reads it.
TEST_F(early_answer_fixture, refusal_before_the_end_of_the_upload_is_a_proof_and_reaches_the_caller_at_once) {
    add_backend(
        "s1", "plain",
        [](backend_exchange& e) -> task<void> {
            co_await e.decline();
            co_await sleep_for(5s);
        },
        script_start::after_head);
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        for (const std::string target : {"/read/1", "/book/1", "/ask/1"}) {
            const auto answer = co_await call_in_time(target);
            EXPECT_EQ(503U, answer ? answer->result_int() : 0) << target;
        }
    });
}

/// The rest of the body is due after an early answer; bytes of another request must not take its place.
TEST_F(early_answer_fixture, connection_with_an_unfinished_upload_carries_no_other_request) {
    add_backend(
        "s1", "plain",
        [](backend_exchange& e) -> task<void> {
            co_await e.answer(200, "early");
            co_await sleep_for(1s);
        },
        script_start::after_head);
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        for (int i = 0; i < 3; ++i) {
            const auto answer = co_await call_in_time("/book/1");
            EXPECT_EQ("early", answer ? answer->body() : "no whole answer");
        }
        EXPECT_EQ(3, backends[0]->connections());
    });
}

/// A stream may begin before its request was read. The rest of the body must still reach the server.
TEST_F(early_answer_fixture, stream_that_begins_early_goes_on_while_the_upload_does) {
    bool body_read = false;
    add_backend(
        "s1", "plain",
        [&](backend_exchange& e) -> task<void> {
            co_await e.start_stream();
            co_await e.piece(events(1, 1));
            body_read = co_await e.discard(upload_bytes - (1U << 20U));
            co_await e.piece(events(2, 2));
            co_await e.end();
            co_await sleep_for(100ms);
        },
        script_start::after_head);
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        const auto answer = co_await call_in_time("/ask/1");
        EXPECT_EQ(events(1, 2), answer ? answer->body() : "no whole answer");
        EXPECT_TRUE(body_read);
    });
}

/// A server that is sound must not be avoided because a caller gave its upload up.
TEST_F(early_answer_fixture, server_is_not_blamed_for_a_caller_that_leaves) {
    configure({{"/read/", "idempotent", "plain", 1, 4000}, {"/slow/", "idempotent", "plain", 1, 4000}}, 2);
    add_backend("s1", "plain", [](backend_exchange& e) -> task<void> {
        if (e.request().target() == "/slow/1") {
            co_await sleep_for(300ms);
        }
        co_await e.answer(200, "s1");
    });
    add_backend("s2", "plain", [](backend_exchange& e) -> task<void> {
        if (e.request().target() == "/slow/1") {
            co_await sleep_for(300ms);
        }
        co_await e.answer(200, "s2");
    });
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        const std::size_t first = backends[0]->arrived().size();
        while (backends[0]->arrived().size() == first) { // Until one of these requests has reached s1.
            raw_caller caller(context);
            co_await caller.connect(settings.listen);
            co_await caller.send(request("GET", "/slow/1"));
            co_await sleep_for(50ms);
            caller.close();
        }
        co_await sleep_for(20ms);
        int at_first_server = 0;
        for (int i = 0; i < 30; ++i) {
            const auto answer = co_await call(request("GET", "/read/1"));
            at_first_server += answer && answer->body() == "s1" ? 1 : 0;
        }
        EXPECT_GT(at_first_server, 0);
    });
}

} // namespace
} // namespace eelgrassgw

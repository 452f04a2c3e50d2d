/// Tests that a stream delivers each event once and in order, or ends in a way that the caller sees as
/// incomplete.

#include "gateway_fixture.h"
#include "streaming_script.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// Returns a script that streams two and a half events and then resets the connection.
scripted_backend::script_type interrupting() {
    return [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        co_await e.piece(events(1, 2) + half_event(3));
        co_await sleep_for(50ms);
        e.break_off(true);
    };
}

class streams_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/once/", "streaming", "models", 2, 3000, true, false},
                   {"/resumable/", "streaming", "models", 2, 3000, true, true}});
    }
    std::string stream_request(const std::string& target) {
        return request("POST", target, prompt_headers, "prompt text");
    }
};

TEST_F(streams_test, event_reaches_the_caller_before_the_stream_ends) {
    add_backend("s1", "models", [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        co_await e.piece(event(1));
        co_await sleep_for(2s);
        co_await e.end();
    });
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(stream_request("/once/"));
        const std::string bytes = co_await caller.read_to_end(500ms);
        EXPECT_NE(std::string::npos, bytes.find(event(1))) << bytes;
    });
}

TEST_F(streams_test, complete_stream_arrives_unchanged) {
    add_backend("s1", "models", streaming(5));
    run([&]() -> task<void> { EXPECT_EQ(events(1, 5), (co_await call(stream_request("/once/")))->body()); });
}

TEST_F(streams_test, interrupted_stream_does_not_look_complete) {
    add_backend("s1", "models", interrupting());
    run([&]() -> task<void> { EXPECT_FALSE((co_await call(stream_request("/once/"))).has_value()); });
}

TEST_F(streams_test, stream_that_may_not_be_repeated_runs_once) {
    auto& first = add_backend("s1", "models", resetting());
    auto& second = add_backend("s2", "models", resetting());
    run([&]() -> task<void> {
        EXPECT_EQ(502U, (co_await call(stream_request("/once/")))->result_int());
        EXPECT_EQ(1U, first.arrived().size() + second.arrived().size());
    });
}

TEST_F(streams_test, resumable_stream_continues_at_another_server_within_one_answer) {
    const script_sequence script({interrupting(), streaming(5)});
    add_backend("s1", "models", script);
    add_backend("s2", "models", script);
    run([&]() -> task<void> {
        const auto answer = co_await call(stream_request("/resumable/"));
        EXPECT_TRUE(answer.has_value());
        EXPECT_EQ(events(1, 5), answer ? answer->body() : "");
        EXPECT_EQ(2U, script.run_count());
    });
}

TEST_F(streams_test, resumable_stream_interrupted_before_its_first_event_is_restarted) {
    const auto interrupting_early = [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        co_await sleep_for(50ms);
        e.break_off(true);
    };
    const script_sequence script({interrupting_early, streaming(5)});
    add_backend("s1", "models", script);
    add_backend("s2", "models", script);
    run([&]() -> task<void> {
        const auto answer = co_await call(stream_request("/resumable/"));
        EXPECT_EQ(events(1, 5), answer ? answer->body() : "no whole answer");
    });
}

TEST_F(streams_test, stream_whose_next_server_declines_does_not_look_complete) {
    const script_sequence script({interrupting(), declining()});
    add_backend("s1", "models", script);
    add_backend("s2", "models", script);
    run([&]() -> task<void> {
        EXPECT_FALSE((co_await call(stream_request("/resumable/"))).has_value());
        EXPECT_EQ(2U, script.run_count());
    });
}

TEST_F(streams_test, stream_continues_after_another_server_answered_at_the_address) {
    const auto answering_as_another_server = [](backend_exchange& e) -> task<void> {
        co_await e.write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + e.header("Attempt-Id") +
                         "\r\nContent-Length: 5\r\n\r\nother");
    };
    const script_sequence script({interrupting(), answering_as_another_server, streaming(5)});
    for (const char* id : {"s1", "s2", "s3"}) {
        add_backend(id, "models", script);
    }
    run([&]() -> task<void> {
        const auto answer = co_await call(stream_request("/resumable/"));
        EXPECT_EQ(events(1, 5), answer ? answer->body() : "no whole answer");
    });
}

TEST_F(streams_test, requests_with_the_same_shared_part_go_to_the_same_server) {
    auto& first = add_backend("s1", "models", streaming(2));
    auto& second = add_backend("s2", "models", streaming(2));
    run([&]() -> task<void> {
        for (int i = 0; i < 3; ++i) {
            co_await call(stream_request("/once/"));
        }
        EXPECT_EQ(0U, std::min(first.arrived().size(), second.arrived().size()));
    });
}

TEST_F(streams_test, stream_ends_at_the_route_timeout) {
    configure({{"/once/", "streaming", "models", 1, 400, true, false}}, 2);
    add_backend("s1", "models", [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        co_await e.piece(event(1));
        co_await sleep_for(3s);
    });
    run([&]() -> task<void> {
        const auto started = std::chrono::steady_clock::now();
        EXPECT_FALSE((co_await call(stream_request("/once/"))).has_value());
        EXPECT_LT(std::chrono::steady_clock::now() - started, 900ms);
    });
}

} // namespace
} // namespace eelgrassgw

/// Streams: each event once and in order, or visibly broken.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

const std::string prompt = "Model: m\r\nToken-Counts: 1000,60\r\nPrompt-Prefix: aa:500,bb:500\r\n";

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: " + std::string(10, char('a' + id)) + "\n\n";
}

std::string events(int first, int last) {
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

/// Streams events up to `last`, beginning after the id that the request names.
scripted_backend::script_type streaming(int last) {
    return [last](backend_exchange& e) -> task<void> {
        const std::string after = e.header("Last-Event-Id");
        co_await e.start_stream();
        for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= last; ++id) {
            co_await e.piece(event(id));
        }
        co_await e.end();
    };
}

/// Streams two events and a half, then breaks off; goes on as `streaming` where it is asked to.
scripted_backend::script_type breaking_midway() {
    return [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        co_await e.piece(event(1) + event(2) + event(3).substr(0, 9));
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
    std::string stream(const std::string& target) { return request("POST", target, prompt, "prompt text"); }
};

TEST_F(streams_test, events_arrive_as_they_are_made) {
    add_backend("s1", "models", [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        co_await e.piece(event(1));
        co_await sleep_for(2s);
        co_await e.end();
    });
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(stream("/once/"));
        const std::string bytes = co_await caller.read_to_end(500ms);
        EXPECT_NE(std::string::npos, bytes.find(event(1))) << bytes;
    });
}

TEST_F(streams_test, whole_stream_arrives_unchanged) {
    add_backend("s1", "models", streaming(5));
    run([&]() -> task<void> { EXPECT_EQ(events(1, 5), (co_await call(stream("/once/")))->body()); });
}

TEST_F(streams_test, broken_stream_does_not_look_complete) {
    add_backend("s1", "models", breaking_midway());
    run([&]() -> task<void> { EXPECT_FALSE((co_await call(stream("/once/"))).has_value()); });
}

TEST_F(streams_test, stream_that_may_not_be_repeated_runs_once) {
    auto& first = add_backend("s1", "models", breaking_off());
    auto& second = add_backend("s2", "models", breaking_off());
    run([&]() -> task<void> {
        EXPECT_EQ(502U, (co_await call(stream("/once/")))->result_int());
        EXPECT_EQ(1U, first.arrived().size() + second.arrived().size());
    });
}

TEST_F(streams_test, resumable_stream_goes_on_at_another_server_inside_one_answer) {
    int begun = 0;
    const auto breaks = breaking_midway();
    const auto goes_on = streaming(5);
    const auto script = [&](backend_exchange& e) -> task<void> {
        const auto& chosen = begun++ == 0 ? breaks : goes_on;
        co_await chosen(e);
    };
    add_backend("s1", "models", script);
    add_backend("s2", "models", script);
    run([&]() -> task<void> {
        const auto answer = co_await call(stream("/resumable/"));
        EXPECT_TRUE(answer.has_value());
        EXPECT_EQ(events(1, 5), answer ? answer->body() : "");
        EXPECT_EQ(2, begun);
    });
}

TEST_F(streams_test, resumable_stream_that_broke_before_its_first_event_begins_anew) {
    int begun = 0;
    const auto goes_on = streaming(5);
    const auto script = [&](backend_exchange& e) -> task<void> {
        if (begun++ == 0) {
            co_await e.start_stream();
            co_await sleep_for(50ms);
            e.break_off(true);
            co_return;
        }
        co_await goes_on(e);
    };
    add_backend("s1", "models", script);
    add_backend("s2", "models", script);
    run([&]() -> task<void> {
        const auto answer = co_await call(stream("/resumable/"));
        EXPECT_EQ(events(1, 5), answer ? answer->body() : "no whole answer");
    });
}

TEST_F(streams_test, stream_whose_next_server_declines_does_not_look_complete) {
    int begun = 0;
    const auto breaks = breaking_midway();
    const auto declines = declining();
    const auto script = [&](backend_exchange& e) -> task<void> {
        const auto& chosen = begun++ == 0 ? breaks : declines;
        co_await chosen(e);
    };
    add_backend("s1", "models", script);
    add_backend("s2", "models", script);
    run([&]() -> task<void> {
        EXPECT_FALSE((co_await call(stream("/resumable/"))).has_value());
        EXPECT_EQ(2, begun);
    });
}

TEST_F(streams_test, stream_goes_on_past_a_server_that_is_another_one) {
    int begun = 0;
    const auto breaks = breaking_midway();
    const auto goes_on = streaming(5);
    const auto script = [&](backend_exchange& e) -> task<void> {
        const int n = begun++;
        if (n == 1) {
            co_await e.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 5\r\n\r\nother");
            co_return;
        }
        const auto& chosen = n == 0 ? breaks : goes_on;
        co_await chosen(e);
    };
    for (const char* id : {"s1", "s2", "s3"}) {
        add_backend(id, "models", script);
    }
    run([&]() -> task<void> {
        const auto answer = co_await call(stream("/resumable/"));
        EXPECT_EQ(events(1, 5), answer ? answer->body() : "no whole answer");
    });
}

TEST_F(streams_test, requests_with_one_shared_part_meet_at_one_server) {
    auto& first = add_backend("s1", "models", streaming(2));
    auto& second = add_backend("s2", "models", streaming(2));
    run([&]() -> task<void> {
        for (int i = 0; i < 3; ++i) {
            co_await call(stream("/once/"));
        }
        EXPECT_EQ(0U, std::min(first.arrived().size(), second.arrived().size()));
    });
}

TEST_F(streams_test, stream_ends_at_the_routes_timeout) {
    configure({{"/once/", "streaming", "models", 1, 400, true, false}}, 2);
    add_backend("s1", "models", [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        co_await e.piece(event(1));
        co_await sleep_for(3s);
    });
    run([&]() -> task<void> {
        const auto begun = std::chrono::steady_clock::now();
        EXPECT_FALSE((co_await call(stream("/once/"))).has_value());
        EXPECT_LT(std::chrono::steady_clock::now() - begun, 900ms);
    });
}

} // namespace
} // namespace eelgrassgw

/// Tests that a stream which a backend server breaks off never looks complete to its caller, however the
/// server frames its answer and ends its connection.

#include "event_stream.h"
#include "gateway_fixture.h"

#include <array>
#include <tuple>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t announced_length = 500;

enum class server_framing { length, chunked, connection_end };
enum class server_end { end_of_body, close, reset, silence };

task<void> write_head(backend_exchange& e, server_framing framing, std::size_t length) {
    const std::string head = e.genuine_head(200) + "Content-Type: text/event-stream\r\n";
    switch (framing) {
    case server_framing::length:
        co_await e.write(head + "Content-Length: " + std::to_string(length) + "\r\n\r\n");
        break;
    case server_framing::chunked:
        co_await e.write(head + "Transfer-Encoding: chunked\r\n\r\n");
        break;
    case server_framing::connection_end:
        co_await e.write(head + "\r\n");
        break;
    }
}

task<void> write_body(backend_exchange& e, server_framing framing, std::string bytes) {
    if (framing == server_framing::chunked) {
        co_await e.piece(std::move(bytes));
    } else {
        co_await e.write(std::move(bytes));
    }
}

/// Returns a script that streams two and a half events and then ends its answer in this way.
scripted_backend::script_type breaking_off(server_framing framing, server_end end) {
    return [framing, end](backend_exchange& e) -> task<void> {
        const std::string bytes = events(1, 2) + half_event(3);
        co_await write_head(e, framing, end == server_end::end_of_body ? bytes.size() : announced_length);
        co_await write_body(e, framing, bytes);
        co_await sleep_for(30ms);
        if (end == server_end::silence) {
            co_await sleep_for(5s);
        } else if (end != server_end::end_of_body || framing == server_framing::connection_end) {
            e.break_off(end == server_end::reset);
        } else if (framing == server_framing::chunked) {
            co_await e.end();
        }
    };
}

/// Returns a script that closes an unframed answer after its head.
scripted_backend::script_type closing_before_the_first_event() {
    return [](backend_exchange& e) -> task<void> {
        co_await write_head(e, server_framing::connection_end, 0);
        co_await sleep_for(30ms);
        e.break_off(false);
    };
}

/// Returns a script that streams the events from the one after the request's Last-Event-Id up to `last_id`.
scripted_backend::script_type completing(server_framing framing, int last_id) {
    return [framing, last_id](backend_exchange& e) -> task<void> {
        const std::string bytes = events(next_event_id(e.header("Last-Event-Id")), last_id);
        co_await write_head(e, framing, bytes.size());
        co_await write_body(e, framing, bytes);
        if (framing == server_framing::chunked) {
            co_await e.end();
        } else if (framing == server_framing::connection_end) {
            e.break_off(false);
        }
    };
}

class broken_off_stream_fixture : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/once/", "streaming", "models", 2, 600, true, false},
                   {"/resumable/", "streaming", "models", 2, 3000, true, true}});
    }
    std::string stream_request(const std::string& target, const std::string& method = "POST") {
        return request(method, target, prompt_headers, method == "POST" ? "prompt text" : "");
    }
    std::string http_1_0_request(const std::string& target) {
        std::string bytes = stream_request(target);
        return bytes.replace(bytes.find("HTTP/1.1"), 8, "HTTP/1.0");
    }
};

class broken_off_stream_test : public broken_off_stream_fixture,
                               public ::testing::WithParamInterface<std::tuple<server_framing, server_end>> {
};

constexpr std::array framing_names = {"length", "chunked", "connection_end"};
constexpr std::array end_names = {"end_of_body", "close", "reset", "silence"};

std::string name_of_framing(const ::testing::TestParamInfo<server_framing>& info) {
    return framing_names.at(std::size_t(info.param));
}

std::string name_of_case(const ::testing::TestParamInfo<std::tuple<server_framing, server_end>>& info) {
    const auto [framing, end] = info.param;
    return std::string(framing_names.at(std::size_t(framing))) + "_" + end_names.at(std::size_t(end));
}

TEST_P(broken_off_stream_test, stream_that_ends_inside_an_event_does_not_look_complete) {
    const auto [framing, end] = GetParam();
    add_backend("s1", "models", breaking_off(framing, end));
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(stream_request("/once/"));
        const std::string bytes = co_await caller.read_to_end(2s);
        EXPECT_NE(std::string::npos, bytes.find(event(2))) << bytes;
        EXPECT_EQ(std::string::npos, bytes.find(half_event(3))) << bytes;
        EXPECT_FALSE(bytes.ends_with("0\r\n\r\n")) << bytes;
    });
}

INSTANTIATE_TEST_SUITE_P(framings_and_ends, broken_off_stream_test,
                         ::testing::Combine(::testing::Values(server_framing::length, server_framing::chunked,
                                                              server_framing::connection_end),
                                            ::testing::Values(server_end::end_of_body, server_end::close,
                                                              server_end::reset, server_end::silence)),
                         name_of_case);

using unframed_stream_test = broken_off_stream_fixture;

TEST_F(unframed_stream_test, stream_that_is_closed_before_its_first_event_does_not_look_complete) {
    add_backend("s1", "models", closing_before_the_first_event());
    run([&]() -> task<void> { EXPECT_FALSE((co_await call(stream_request("/once/"))).has_value()); });
}

TEST_F(unframed_stream_test, resumed_stream_that_is_closed_before_its_first_event_does_not_look_complete) {
    const script_sequence script(
        {breaking_off(server_framing::chunked, server_end::close), closing_before_the_first_event()});
    add_backend("s1", "models", script);
    add_backend("s2", "models", script);
    run([&]() -> task<void> {
        EXPECT_FALSE((co_await call(stream_request("/resumable/"))).has_value());
        EXPECT_EQ(2U, script.run_count());
    });
}

class stream_framing_test : public broken_off_stream_fixture,
                            public ::testing::WithParamInterface<server_framing> {};

TEST_P(stream_framing_test, whole_stream_arrives_complete) {
    add_backend("s1", "models", completing(GetParam(), 5));
    run([&]() -> task<void> {
        const auto answer = co_await call(stream_request("/once/"));
        EXPECT_EQ(events(1, 5), answer ? answer->body() : "no whole answer");
    });
}

TEST_P(stream_framing_test, resumable_stream_that_ends_inside_an_event_continues_at_another_server) {
    const script_sequence script({breaking_off(GetParam(), server_end::close), completing(GetParam(), 4)});
    add_backend("s1", "models", script);
    add_backend("s2", "models", script);
    run([&]() -> task<void> {
        const auto answer = co_await call(stream_request("/resumable/"));
        EXPECT_EQ(events(1, 4), answer ? answer->body() : "no whole answer");
        EXPECT_EQ(2U, script.run_count());
    });
}

INSTANTIATE_TEST_SUITE_P(framings, stream_framing_test,
                         ::testing::Values(server_framing::length, server_framing::chunked,
                                           server_framing::connection_end),
                         name_of_framing);

using http_1_0_stream_test = broken_off_stream_fixture;

TEST_F(http_1_0_stream_test, whole_stream_arrives_without_chunks) {
    add_backend("s1", "models", completing(server_framing::chunked, 2));
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(http_1_0_request("/once/"));
        const auto answer = co_await caller.read_answer();
        EXPECT_EQ(events(1, 2), answer ? answer->body() : "no whole answer");
        EXPECT_TRUE(answer && !answer->chunked());
    });
}

TEST_F(http_1_0_stream_test, stream_that_is_broken_off_ends_with_a_reset) {
    add_backend("s1", "models", breaking_off(server_framing::chunked, server_end::close));
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(http_1_0_request("/once/"));
        EXPECT_FALSE((co_await caller.read_answer()).has_value());
    });
}

using head_request_test = broken_off_stream_fixture;

TEST_F(head_request_test, no_byte_follows_the_head_of_a_stream) {
    add_backend("s1", "models", [](backend_exchange& e) -> task<void> {
        co_await write_head(e, server_framing::chunked, 0);
    });
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(stream_request("/once/", "HEAD"));
        const std::string bytes = co_await caller.read_to_end(500ms);
        EXPECT_TRUE(bytes.ends_with("\r\n\r\n") && !bytes.ends_with("0\r\n\r\n")) << bytes;
    });
}

} // namespace
} // namespace eelgrassgw

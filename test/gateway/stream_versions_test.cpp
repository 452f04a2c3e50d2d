/// Tests that a stream goes on only at the software version that began it, at whatever router it arrives.

#include "gateway_fixture.h"
#include "relay/relay.h"
#include "streaming_script.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// Returns a script that streams two events, waits while `hold` is true and then resets the connection. It
/// completes streams that are taken up.
scripted_backend::script_type interrupting(const bool& hold) {
    return [&hold](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        if (!e.header("Last-Event-Id").empty()) {
            co_await e.piece(events(3, 5));
            co_return co_await e.end();
        }
        co_await e.piece(events(1, 2));
        co_await sleep_for(30ms);
        co_await wait_while(hold);
        e.break_off(true);
    };
}

class stream_versions_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/s/", "streaming", "models", 3, 3000, true, true}}, 1, 1000000);
        const std::string relay_address = next_loopback_address();
        relay_config.name = "relay";
        relay_config.listen = relay_address;
        relay_config.store = store.address();
        settings.relay_port = parse_address(relay_address).value().port();
        settings.notice_listen = next_loopback_address();
        start_relay();
    }
    void start_relay() {
        relay_service = std::make_unique<relay>(
            context, relay_config, log, metrics, [](text_request) -> task<text_reply> {
                co_return make_reply(http::status::not_found, "text/plain", "");
            });
        ASSERT_TRUE(relay_service->start().ok());
    }
    scripted_backend& add_server(const std::string& id, const std::string& version,
                                 scripted_backend::script_type script) {
        return add_backend(id, "models", std::move(script), script_start::after_request, version);
    }
    /// Starts a router that knows nothing of what the first one did, in its place, and waits until it is
    /// ready. From then on, requests go there.
    task<void> replace_router() {
        settings.listen = next_loopback_address();
        settings.readiness_listen = next_loopback_address();
        settings.peer_listen = next_loopback_address();
        settings.notice_listen = next_loopback_address();
        second_router = std::make_unique<gateway_type>(context, settings, log, metrics);
        EXPECT_TRUE(second_router->start().ok());
        co_await wait_until_ready();
        co_await sleep_for(100ms);
    }
    /// Begins a stream at a server that breaks it off after two events. Returns the id of the request.
    task<std::string> begin_and_lose_stream() {
        const std::string bytes = request("POST", "/s/", prompt_headers, "prompt text");
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(bytes);
        const std::string answer = co_await caller.read_to_end(2s);
        EXPECT_NE(std::string::npos, answer.find(event(2))) << answer;
        EXPECT_EQ(std::string::npos, answer.find(event(3))) << answer;
        const std::string name = "Attempt-Id: ";
        const std::size_t from = bytes.find(name) + name.size();
        co_return bytes.substr(from, bytes.find("\r\n", from) - from);
    }
    /// Returns once the server has got a request.
    static task<void> wait_while_empty(const scripted_backend& server) {
        while (server.arrived().empty()) {
            co_await sleep_for(5ms);
        }
    }
    /// Goes on with a stream after its second event.
    task<std::optional<text_reply>> take_up(std::string first_request_id) {
        const std::string resumes = first_request_id.empty() ? "" : "Resumes: " + first_request_id + "\r\n";
        co_return co_await call(
            request("POST", "/s/", prompt_headers + "Last-Event-Id: 2\r\n" + resumes, "prompt text"));
    }
    /// Goes on with the stream several times, since the choice of a server is random.
    task<void> expect_take_ups_go_on(std::string first_request_id) {
        for (int i = 0; i < 6; ++i) {
            const auto answer = co_await take_up(first_request_id);
            EXPECT_EQ(events(3, 5), answer ? answer->body() : "no whole answer");
        }
    }

    bool hold = false; ///< Keeps interrupting servers from breaking off.
    relay_settings relay_config;
    std::unique_ptr<relay> relay_service;
    std::unique_ptr<gateway_type> second_router;
};

/// Guards against an answer that is joined from two versions.
TEST_F(stream_versions_test, answer_goes_on_at_the_version_that_began_it) {
    auto& first = add_server("s1", "v1", interrupting(hold));
    run([&]() -> task<void> {
        hold = true;
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("POST", "/s/", prompt_headers, "prompt text"));
        co_await wait_while_empty(first);
        std::vector<scripted_backend*> others(8);
        for (scripted_backend*& each : others) {
            each = &add_server("n" + std::to_string(backends.size()), "v2", streaming(5));
        }
        add_server("s2", "v1", streaming(5));
        co_await sleep_for(300ms);
        hold = false;
        const auto answer = co_await caller.read_answer();
        EXPECT_EQ(events(1, 5), answer ? answer->body() : "no whole answer");
        for (const scripted_backend* each : others) {
            EXPECT_TRUE(each->arrived().empty());
        }
    });
}

/// Guards against an answer that is joined from two versions because no server of the first one is left.
TEST_F(stream_versions_test, answer_is_broken_off_if_no_server_has_the_version_that_began_it) {
    auto& first = add_server("s1", "v1", interrupting(hold));
    run([&]() -> task<void> {
        hold = true;
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("POST", "/s/", prompt_headers, "prompt text"));
        co_await wait_while_empty(first);
        auto& other = add_server("s2", "v2", streaming(5));
        co_await sleep_for(300ms);
        hold = false;
        const std::string answer = co_await caller.read_to_end(2s);
        EXPECT_NE(std::string::npos, answer.find(event(2)));
        EXPECT_EQ(std::string::npos, answer.find(event(3))) << answer;
        EXPECT_TRUE(other.arrived().empty());
    });
}

TEST_F(stream_versions_test, take_up_goes_on_at_the_version_that_began_the_stream) {
    auto& first = add_server("s1", "v1", interrupting(hold));
    run([&]() -> task<void> {
        const std::string id = co_await begin_and_lose_stream();
        auto& newer = add_server("s2", "v2", streaming(5));
        auto& same = add_server("s3", "v1", streaming(5));
        co_await sleep_for(200ms);
        co_await expect_take_ups_go_on(id);
        EXPECT_EQ(7U, first.arrived().size() + same.arrived().size());
        EXPECT_TRUE(newer.arrived().empty());
    });
}

/// Guards against routers that forget at their death which version began a stream.
TEST_F(stream_versions_test, take_up_goes_on_at_that_version_after_the_death_of_all_routers) {
    auto& first = add_server("s1", "v1", interrupting(hold));
    run([&]() -> task<void> {
        const std::string id = co_await begin_and_lose_stream();
        auto& newer = add_server("s2", "v2", streaming(5));
        auto& same = add_server("s3", "v1", streaming(5));
        co_await replace_router();
        co_await expect_take_ups_go_on(id);
        EXPECT_EQ(7U, first.arrived().size() + same.arrived().size());
        EXPECT_TRUE(newer.arrived().empty());
    });
}

/// Guards against a stream that goes on at a guessed version.
TEST_F(stream_versions_test, take_up_of_an_unknown_stream_is_refused_as_not_run) {
    auto& server = add_server("s1", "v1", streaming(5));
    run([&]() -> task<void> {
        for (const char* first_request_id : {"", "never-heard-of"}) {
            const auto started = std::chrono::steady_clock::now();
            const auto answer = co_await take_up(first_request_id);
            EXPECT_EQ(503U, answer ? answer->result_int() : 0) << first_request_id;
            EXPECT_FALSE(answer && (*answer)["Retry-After"].empty());
            EXPECT_LT(std::chrono::steady_clock::now() - started, 500ms);
        }
        EXPECT_TRUE(server.arrived().empty());
    });
}

/// Guards against a wait for servers of a version that is gone.
TEST_F(stream_versions_test, take_up_is_refused_at_once_if_no_server_has_the_version) {
    add_server("s1", "v1", interrupting(hold));
    run([&]() -> task<void> {
        const std::string id = co_await begin_and_lose_stream();
        auto& newer = add_server("s2", "v2", streaming(5));
        store.remove("servers", "s1");
        co_await sleep_for(300ms);
        const auto answer = co_await take_up(id);
        EXPECT_EQ(503U, answer ? answer->result_int() : 0);
        EXPECT_TRUE(newer.arrived().empty());
    });
}

/// Guards against a server that comes anew under its id with another version.
TEST_F(stream_versions_test, version_of_a_server_that_started_anew_counts) {
    auto& server = add_server("s1", "v1", interrupting(hold));
    run([&]() -> task<void> {
        const std::string id = co_await begin_and_lose_stream();
        const std::size_t arrived = server.arrived().size();
        announce("s1", "models", server.address(), "ready", 5, "v2");
        co_await sleep_for(300ms);
        EXPECT_EQ(503U, (co_await take_up(id))->result_int());
        EXPECT_EQ(arrived, server.arrived().size());
        announce("s1", "models", server.address(), "ready", 9, "v1");
        co_await sleep_for(300ms);
        co_await take_up(id);
        EXPECT_EQ(arrived + 1, server.arrived().size());
    });
}

} // namespace
} // namespace eelgrassgw

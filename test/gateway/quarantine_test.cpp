/// Tests that a prompt part under which backend servers crash is kept from the others, and that requests that
/// share everything else with it are served.

#include "event_stream.h"
#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

const std::string deadly_part = "dead";

class quarantine_test : public gateway_fixture {
protected:
    static constexpr int server_count = 8;

    void SetUp() override {
        settings.notice_listen = next_loopback_address();
        configure({{"/ask/", "streaming", "models", 1, 3000, true, false}}, 1, 1000000);
        for (int i = 0; i < server_count; ++i) {
            add_backend("s" + std::to_string(i), "models", [this, i](backend_exchange& e) -> task<void> {
                co_await answer_or_crash(e, *backends.at(i));
            });
        }
    }

    /// Streams two events, or ends the server as a crash would if the prompt has the deadly part.
    task<void> answer_or_crash(backend_exchange& e, scripted_backend& server) {
        co_await e.start_stream();
        if (e.header("Prompt-Prefix").find(deadly_part) != std::string::npos) {
            server.stop_listening();
            e.break_off(false);
            co_return;
        }
        co_await e.piece("id: 1\ndata: a\n\n");
        co_await e.piece("id: 2\ndata: b\n\n");
        co_await e.end();
    }

    /// Returns the bytes of a request whose prompt has this second part between shared and own ones. Requests
    /// with the same third part go to the same server.
    static std::string prompt_request(const std::string& part, const std::string& third_part = "e0") {
        static int n = 0;
        return request("POST", "/ask/",
                       "Model: m\r\nToken-Counts: 100,12\r\nPrompt-Prefix: f1257:40," + part + ":40," +
                           third_part + ":10,0" + std::to_string(++n) + ":10\r\n",
                       "prompt text");
    }

    /// Sends requests with the deadly part until `count` servers have crashed.
    task<void> crash_servers(int count) {
        for (int i = 0; i < count; ++i) {
            co_await call(prompt_request(deadly_part));
            co_await sleep_for(400ms); // So that the crashes are separate ones.
        }
    }

    std::size_t deadly_requests_at_servers() const {
        std::size_t n = 0;
        for (const auto& server : backends) {
            for (const text_request& each : server->arrived()) {
                n += std::string(each["Prompt-Prefix"]).find(deadly_part) != std::string::npos ? 1 : 0;
            }
        }
        return n;
    }
};

TEST_F(quarantine_test, part_that_crashes_one_server_after_the_other_is_kept_from_the_rest) {
    run([&]() -> task<void> {
        co_await crash_servers(5);
        const std::size_t before = deadly_requests_at_servers();
        for (int i = 0; i < 10; ++i) {
            const auto answer = co_await call(prompt_request(deadly_part));
            EXPECT_EQ(503U, answer ? answer->result_int() : 0);
            EXPECT_NE("", answer ? std::string((*answer)["Retry-After"]) : "");
        }
        EXPECT_EQ(before, deadly_requests_at_servers());
        EXPECT_LE(before, 5U);
    });
}

TEST_F(quarantine_test, requests_with_the_same_caller_and_other_parts_are_served) {
    run([&]() -> task<void> {
        co_await crash_servers(5);
        for (int i = 0; i < 10; ++i) {
            const auto answer = co_await call(prompt_request("50d" + std::to_string(i % 3)));
            EXPECT_EQ(200U, answer ? answer->result_int() : 0) << "request " << i;
        }
    });
}

TEST_F(quarantine_test, router_that_starts_later_gets_the_quarantine_from_the_store) {
    run([&]() -> task<void> {
        co_await crash_servers(3);
        co_await sleep_for(1s);
    });
    const Json::Value stored = store.spec("eelgrass-quarantine", "all");
    EXPECT_TRUE(stored.isObject() && stored.isMember(deadly_part)) << stored;
    const std::size_t before = deadly_requests_at_servers();
    const std::unique_ptr<gateway_type> earlier_router = std::move(router);
    settings.listen = next_loopback_address();
    settings.readiness_listen = next_loopback_address();
    settings.peer_listen = next_loopback_address();
    settings.notice_listen = "";
    run([&]() -> task<void> {
        co_await sleep_for(300ms);
        const auto answer = co_await call(prompt_request(deadly_part));
        EXPECT_EQ(503U, answer ? answer->result_int() : 0);
        EXPECT_EQ(before, deadly_requests_at_servers());
    });
}

TEST_F(quarantine_test, server_that_breaks_answers_off_and_lives_on_leads_to_no_quarantine) {
    bool breaks_off = true;
    for (int i = 0; i < server_count; ++i) {
        announce("s" + std::to_string(i), "models", backends.at(i)->address(), "draining");
    }
    for (const char* id : {"t1", "t2", "t3", "t4", "t5", "t6"}) {
        add_backend(id, "models", [&](backend_exchange& e) -> task<void> {
            co_await e.start_stream();
            if (breaks_off) {
                e.break_off(true);
                co_return;
            }
            co_await e.piece("id: 1\ndata: a\n\n");
            co_await e.end();
        });
    }
    run([&]() -> task<void> {
        for (int i = 0; i < 12; ++i) {
            co_await call(prompt_request("50d"));
            co_await sleep_for(150ms);
        }
        breaks_off = false;
        const auto answer = co_await call(prompt_request("50d"));
        EXPECT_EQ(200U, answer ? answer->result_int() : 0);
    });
}

/// Has requests with the deadly part come in pairs, on a route that sends an interrupted request once more.
class retried_quarantine_test : public quarantine_test {
protected:
    static constexpr std::chrono::milliseconds contact_time{3000};
    static constexpr std::size_t max_requests_after_bound = 3;

    void SetUp() override {
        settings.notice_listen = next_loopback_address();
        configure({{"/ask/", "streaming", "models", 2, 3000, true, true}}, 1, 1000000);
        constexpr int servers = 16;
        for (int i = 0; i < servers; ++i) {
            const std::string id = "s" + std::to_string(i);
            add_backend(id, "models", [this, i, id](backend_exchange& e) -> task<void> {
                co_await answer_or_crash_later(e, id, *backends.at(i));
            });
        }
    }

    /// Streams two events, or ends the server as a crash would once it has written deadly events for
    /// `written_for`.
    task<void> answer_or_crash_later(backend_exchange& e, std::string id, scripted_backend& server) {
        const bool deadly = e.header("Prompt-Prefix").find(deadly_part) != std::string::npos;
        co_await sleep_for(75ms);
        if (!deadly || written_for > 0ms) {
            co_await e.start_stream();
        }
        const auto began_at = std::chrono::steady_clock::now();
        int event_id = next_event_id(e.header("Last-Event-Id"));
        while (deadly && std::chrono::steady_clock::now() - began_at < written_for) {
            co_await e.piece(event(event_id++));
            co_await sleep_for(20ms);
        }
        if (deadly) {
            ++crashes;
            server.stop_listening();
            store.remove("servers", id);
            e.break_off(false);
            co_return;
        }
        co_await e.piece(events(event_id, event_id + 1));
        co_await e.end();
    }

    /// Sends two requests with the deadly part together, and then a sound one.
    task<void> send_pair() {
        int running = 2;
        for (int i = 0; i < 2; ++i) {
            asio::co_spawn(
                context,
                [this, &running, i]() -> task<void> {
                    co_await call(prompt_request(deadly_part, "e" + std::to_string(i)));
                    --running;
                },
                asio::detached);
        }
        while (running > 0) {
            co_await sleep_for(10ms);
        }
        co_await sleep_for(300ms);
        const auto answer = co_await call(prompt_request("50d"));
        EXPECT_EQ(200U, answer ? answer->result_int() : 0);
        co_await sleep_for(500ms);
    }

    /// Sends pairs until five servers have crashed, and counts what reaches servers after the bound.
    task<void> expect_quarantine_in_time() {
        while (crashes < 5) {
            co_await send_pair();
        }
        co_await sleep_for(contact_time);
        const std::size_t before = deadly_requests_at_servers();
        for (int i = 0; i < 4; ++i) {
            co_await send_pair();
        }
        EXPECT_LE(deadly_requests_at_servers() - before, max_requests_after_bound);
    }

    std::chrono::milliseconds written_for{0}; ///< Time for which servers write before they crash.
    int crashes = 0;
};

// Guards against crashes that count as one because the router sends a deadly request to the next server at
// once.
TEST_F(retried_quarantine_test, part_of_requests_that_come_together_is_kept_from_servers) {
    run([&]() -> task<void> { co_await expect_quarantine_in_time(); });
}

// Guards against answers that count as harmless because the server writes for a while before it crashes.
TEST_F(retried_quarantine_test, part_under_which_servers_write_for_a_while_is_kept_from_servers) {
    written_for = 400ms;
    run([&]() -> task<void> { co_await expect_quarantine_in_time(); });
}

} // namespace
} // namespace eelgrassgw

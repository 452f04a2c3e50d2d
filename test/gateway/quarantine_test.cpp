/// Tests that a prompt part under which backend servers crash is kept from the others, and that requests that
/// share everything else with it are served.

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

    /// Returns the bytes of a request whose prompt has this second part between shared and own ones.
    static std::string prompt_request(const std::string& part) {
        static int n = 0;
        return request("POST", "/ask/",
                       "Model: m\r\nToken-Counts: 100,12\r\nPrompt-Prefix: f1257:40," + part + ":40,e0:10,0" +
                           std::to_string(++n) + ":10\r\n",
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

} // namespace
} // namespace eelgrassgw

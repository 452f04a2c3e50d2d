/// Tests that requests wait in the router while the servers have no room, and what becomes of them.

#include "event_stream.h"
#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// Streams on routes that state a pause of 100 ms, which bounds a server's unread tokens to 3,000. A server
/// answers once the test has let it.
class admission_test : public gateway_fixture {
protected:
    struct started_call {
        std::optional<text_reply> answer;
        bool ended = false;
    };

    void SetUp() override {
        settings.place_by_wait = true;
        configure_admission();
    }

    /// Writes a configuration in which `/chat/` is more urgent than `/long/`, and `/free/` states no pause.
    void configure_admission(std::uint64_t version = 1, tokens prepaid = 1000000) {
        configure({{"/chat/", "streaming", "models", 1, 4000, true},
                   {"/long/", "streaming", "models", 1, 4000, true},
                   {"/free/", "streaming", "models", 1, 4000, true}},
                  version, prepaid);
        Json::Value document = store.spec("config", "main");
        for (Json::Value& route : document["routes"]) {
            const std::string prefix = route["pathPrefix"].asString();
            route["priority"] = prefix == "/chat/" ? 0 : 2;
            route["targetLatencyMs"] = 2000;
            if (prefix != "/free/") {
                route["targetGapMs"] = 100;
            }
        }
        store.put("config", "main", document);
    }

    /// Adds a server that answers its first `allowed_answers` requests, in order of arrival.
    scripted_backend& add_model_server(const std::string& id) {
        return add_backend(id, "models", [this](backend_exchange& e) -> task<void> {
            const int number = ++arrived_requests;
            targets.emplace_back(e.request().target());
            while (allowed_answers < number) {
                co_await sleep_for(5ms);
            }
            co_await e.start_stream();
            co_await e.piece(event(1));
            co_await e.end();
        });
    }

    static std::string prompt(const std::string& target, int prompt_tokens = 3000) {
        return request("POST", target,
                       "Model: m\r\nToken-Counts: " + std::to_string(prompt_tokens) + ",60\r\n", "text");
    }

    /// Sends a request and goes on. The returned state outlives the call.
    std::shared_ptr<started_call> start_call(std::string bytes) {
        auto state = std::make_shared<started_call>();
        asio::co_spawn(
            context,
            [this, state, bytes]() -> task<void> {
                state->answer = co_await call(bytes);
                state->ended = true;
            },
            asio::detached);
        return state;
    }

    task<void> wait_for(std::shared_ptr<started_call> state) {
        for (int i = 0; i < 600 && !state->ended; ++i) {
            co_await sleep_for(5ms);
        }
    }

    /// Waits until `n` requests have arrived at the servers.
    task<void> wait_for_arrivals(int n) {
        for (int i = 0; i < 600 && arrived_requests < n; ++i) {
            co_await sleep_for(5ms);
        }
        EXPECT_EQ(n, arrived_requests);
    }

    /// Waits until `n` requests of this priority wait in the router.
    task<void> wait_for_queued(int n, int priority) {
        const std::string line = "eelgrassgw_queued_requests{priority=\"" + std::to_string(priority) +
                                 "\"} " + std::to_string(n) + "\n";
        for (int i = 0; i < 600; ++i) {
            if (metrics.text().find(line) != std::string::npos) {
                co_return;
            }
            co_await sleep_for(5ms);
        }
        ADD_FAILURE() << "missing: " << line;
    }

    static unsigned status_of(const started_call& ended) {
        return ended.answer ? ended.answer->result_int() : 0;
    }

    int arrived_requests = 0;
    int allowed_answers = 0;
    std::vector<std::string> targets; ///< Of the requests that arrived, in order.
};

TEST_F(admission_test, queued_request_is_served_when_room_appears) {
    add_model_server("s1");
    run([&]() -> task<void> {
        const auto first = start_call(prompt("/long/"));
        co_await wait_for_arrivals(1);
        const auto second = start_call(prompt("/long/"));
        co_await wait_for_queued(1, 2);
        EXPECT_EQ(1, arrived_requests);
        allowed_answers = 2;
        co_await wait_for(second);
        EXPECT_EQ(200U, status_of(*first));
        EXPECT_EQ(200U, status_of(*second));
        co_await wait_for_queued(0, 2);
    });
}

TEST_F(admission_test, queued_request_goes_to_a_server_that_is_added) {
    add_model_server("s1");
    run([&]() -> task<void> {
        start_call(prompt("/long/"));
        co_await wait_for_arrivals(1);
        start_call(prompt("/long/"));
        co_await wait_for_queued(1, 2);
        add_model_server("s2");
        co_await wait_for_arrivals(2);
        allowed_answers = 2;
    });
}

TEST_F(admission_test, urgent_request_goes_before_one_that_waited_longer) {
    add_model_server("s1");
    run([&]() -> task<void> {
        start_call(prompt("/long/"));
        co_await wait_for_arrivals(1);
        const auto patient = start_call(prompt("/long/"));
        co_await wait_for_queued(1, 2);
        const auto urgent = start_call(prompt("/chat/"));
        co_await wait_for_queued(1, 0);
        allowed_answers = 1;
        co_await wait_for_arrivals(2);
        EXPECT_EQ("/chat/", targets.back());
        allowed_answers = 3;
        co_await wait_for(patient);
        EXPECT_EQ(200U, status_of(*urgent));
        EXPECT_EQ(200U, status_of(*patient));
    });
}

TEST_F(admission_test, request_that_cannot_be_served_in_time_is_refused_at_once) {
    add_model_server("s1");
    run([&]() -> task<void> {
        start_call(prompt("/long/"));
        co_await wait_for_arrivals(1);
        // Sent within 4 s less the time to read the prompt; each of the two before it takes 1.67 s.
        start_call(prompt("/long/", 100000));
        start_call(prompt("/long/", 100000));
        const auto refused = start_call(prompt("/long/", 110000));
        co_await wait_for(refused);
        EXPECT_EQ(503U, status_of(*refused));
        EXPECT_EQ(1, arrived_requests);
        const std::string retry_after =
            refused->answer ? std::string((*refused->answer)[http::field::retry_after]) : "";
        EXPECT_GT(std::atof(retry_after.c_str()), 1.0); // There are 3.3 s of work before it.
        EXPECT_LT(std::atof(retry_after.c_str()), 4.0 / 3);
        EXPECT_NE(std::string::npos,
                  metrics.text().find("eelgrassgw_refused_by_order_total{priority=\"2\"}"));
        allowed_answers = 3;
        co_await sleep_for(50ms);
    });
}

/// Guards against a place, and a reservation of the budget, that outlive their caller.
TEST_F(admission_test, caller_that_leaves_gives_up_its_place_and_its_reservation) {
    configure_admission(2, 6120);
    add_model_server("s1");
    run([&]() -> task<void> {
        start_call(prompt("/long/"));
        co_await wait_for_arrivals(1);
        raw_caller leaving(context);
        co_await leaving.connect(settings.listen);
        co_await leaving.send(prompt("/long/"));
        co_await wait_for_queued(1, 2);
        leaving.close();
        co_await wait_for_queued(0, 2);
        const auto next = start_call(prompt("/chat/"));
        co_await wait_for_queued(1, 0);
        allowed_answers = 3;
        co_await wait_for(next);
        EXPECT_EQ(200U, status_of(*next));
        EXPECT_EQ(2, arrived_requests);
    });
}

TEST_F(admission_test, repetition_of_a_queued_request_is_not_sent) {
    add_model_server("s1");
    run([&]() -> task<void> {
        start_call(prompt("/long/"));
        co_await wait_for_arrivals(1);
        const std::string bytes = prompt("/long/");
        const auto queued = start_call(bytes);
        co_await wait_for_queued(1, 2);
        const auto repeated = start_call(bytes);
        co_await wait_for(repeated);
        EXPECT_EQ(502U, status_of(*repeated));
        allowed_answers = 3;
        co_await wait_for(queued);
        EXPECT_EQ(200U, status_of(*queued));
        EXPECT_EQ(2, arrived_requests);
    });
}

TEST_F(admission_test, route_that_is_removed_during_the_wait_is_not_served) {
    add_model_server("s1");
    run([&]() -> task<void> {
        start_call(prompt("/long/"));
        co_await wait_for_arrivals(1);
        const auto queued = start_call(prompt("/chat/"));
        co_await wait_for_queued(1, 0);
        configure({{"/free/", "streaming", "models", 1, 4000, true}}, 3);
        co_await sleep_for(300ms);
        allowed_answers = 2;
        co_await wait_for(queued);
        EXPECT_EQ(503U, status_of(*queued));
        EXPECT_EQ(1, arrived_requests);
    });
}

TEST_F(admission_test, request_is_not_sent_to_a_server_that_leaves_during_the_wait) {
    const auto& server = add_model_server("s1");
    run([&]() -> task<void> {
        start_call(prompt("/long/"));
        co_await wait_for_arrivals(1);
        const auto queued = start_call(prompt("/long/"));
        co_await wait_for_queued(1, 2);
        announce("s1", "models", server.address(), "draining");
        co_await wait_for(queued);
        EXPECT_EQ(503U, status_of(*queued));
        allowed_answers = 2;
        co_await sleep_for(100ms);
        EXPECT_EQ(1, arrived_requests);
    });
}

TEST_F(admission_test, routes_without_a_stated_pause_do_not_wait) {
    add_model_server("s1");
    run([&]() -> task<void> {
        start_call(prompt("/free/"));
        start_call(prompt("/free/"));
        co_await wait_for_arrivals(2);
        allowed_answers = 2;
    });
}

/// Guards against a request that waits for room although its caller left before the wait began.
TEST(admission_wait_test, wait_that_was_cancelled_before_it_began_takes_no_place) {
    asio::io_context context;
    metrics_registry metrics;
    const auto control = std::make_shared<admission_control>(context, metrics);
    run_task(context, [&]() -> task<void> {
        const auto wait = std::make_shared<admission_wait>(context);
        wait->cancel();
        admission_request waiting;
        waiting.deadline = admission_control::clock::now() + 1s;
        const std::function<place_attempt()> find_no_room = [] {
            return place_attempt::no_room;
        };
        const admission_verdict verdict = co_await control->admit(waiting, find_no_room, wait);
        EXPECT_EQ(admission_verdict::outcome::cancelled, verdict.result);
        EXPECT_EQ(0U, control->waiting_requests());
    });
}

} // namespace
} // namespace eelgrassgw

/// Tests end to end what customers are charged for their requests.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

std::string prompt_headers(int prompt_tokens, int output_tokens) {
    return "Model: m\r\nToken-Counts: " + std::to_string(prompt_tokens) + "," +
           std::to_string(output_tokens) + "\r\nPrompt-Prefix: aa:10,bb:10\r\n";
}

class budgets_test : public gateway_fixture {
protected:
    void SetUp() override { configure({{"/ask/", "streaming", "models", 1, 3000, true, false}}); }

    std::string ask_request(int prompt_tokens, int output_tokens) {
        return request("POST", "/ask/", prompt_headers(prompt_tokens, output_tokens), "p");
    }
    static scripted_backend::script_type two_events() {
        return [](backend_exchange& e) -> task<void> {
            co_await e.start_stream();
            co_await e.piece("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            co_await e.end();
        };
    }
    task<void> return_allowances() { co_await router->stop(); }
};

TEST_F(budgets_test, request_pays_its_prompt_and_the_delivered_events) {
    add_backend("s1", "models", two_events());
    run([&]() -> task<void> {
        co_await call(ask_request(1000, 600));
        co_await return_allowances();
        EXPECT_EQ(1000 + 2 * 6, taken_tokens());
    });
}

TEST_F(budgets_test, request_without_a_delivered_event_is_free) {
    add_backend("s1", "models", resetting());
    run([&]() -> task<void> {
        co_await call(ask_request(1000, 600));
        co_await return_allowances();
        EXPECT_EQ(0, taken_tokens());
    });
}

TEST_F(budgets_test, request_whose_maximum_cost_exceeds_the_budget_is_refused_and_not_sent) {
    auto& server = add_backend("s1", "models", two_events());
    run([&]() -> task<void> {
        EXPECT_EQ(402U, (co_await call(ask_request(9000, 2000)))->result_int());
        EXPECT_TRUE(server.arrived().empty());
    });
}

TEST_F(budgets_test, top_up_takes_effect_at_once) {
    add_backend("s1", "models", two_events());
    run([&]() -> task<void> {
        EXPECT_EQ(402U, (co_await call(ask_request(9000, 2000)))->result_int());
        configure({{"/ask/", "streaming", "models", 1, 3000, true, false}}, 2, 20000);
        co_await sleep_for(300ms);
        EXPECT_EQ(200U, (co_await call(ask_request(9000, 2000)))->result_int());
    });
}

TEST_F(budgets_test, lost_store_reply_does_not_double_the_budget) {
    add_backend("s1", "models", two_events());
    run([&]() -> task<void> {
        store.write_answers_to_lose = 2;
        for (int i = 0; i < 60; ++i) {
            co_await call(ask_request(1000, 6));
            EXPECT_LE(taken_tokens(), default_prepaid_tokens);
            co_await sleep_for(50ms);
        }
        EXPECT_EQ(402U, (co_await call(ask_request(1000, 6)))->result_int());
    });
}

TEST_F(budgets_test, request_whose_budget_cannot_be_checked_is_refused_as_not_run_with_retry_after) {
    auto& server = add_backend("s1", "models", two_events());
    run([&]() -> task<void> {
        store.busy = true;
        const auto answer = co_await call(ask_request(1000, 600));
        EXPECT_EQ(503U, answer->result_int());
        EXPECT_NE("", std::string((*answer)["Retry-After"]));
        EXPECT_TRUE(server.arrived().empty());
    });
}

TEST_F(budgets_test, request_that_does_not_state_its_prompt_is_refused) {
    auto& server = add_backend("s1", "models", two_events());
    run([&]() -> task<void> {
        EXPECT_EQ(400U, (co_await call(request("POST", "/ask/", "", "p")))->result_int());
        EXPECT_TRUE(server.arrived().empty());
    });
}

} // namespace
} // namespace eelgrassgw

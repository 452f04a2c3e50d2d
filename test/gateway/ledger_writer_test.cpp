/// Tests how the requests of many routers are batched into writes to the ledger.

#include "budgets/ledger_writer.h"
#include "faulty_ledger.h"
#include "task_runner.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

constexpr tokens prepaid = 1000;

ledger_request take_request(const std::string& router, tokens amount, std::uint64_t sequence = 1,
                            std::uint64_t previous = 0) {
    ledger_request request;
    request.router = router;
    request.sequence = sequence;
    request.previous = previous;
    request.changes["c"] = {amount, prepaid};
    return request;
}

ledger_request read_request(const std::string& router) {
    ledger_request request;
    request.router = router;
    return request;
}

class ledger_writer_test : public ::testing::Test {
protected:
    /// Submits all requests, waiting `pause` after each, and returns their outcomes in the same order.
    std::vector<ledger_outcome> submit(const std::vector<ledger_request>& requests,
                                       std::chrono::milliseconds pause = 0ms) {
        std::vector<ledger_outcome> outcomes(requests.size());
        std::size_t ended = 0;
        run_task(context, [&]() -> task<void> {
            for (std::size_t i = 0; i < requests.size(); ++i) {
                asio::co_spawn(context, submit_one(requests[i], outcomes[i], ended), asio::detached);
                if (pause > 0ms) {
                    co_await sleep_for(pause);
                }
            }
            while (ended < requests.size()) {
                co_await sleep_for(1ms);
            }
        });
        return outcomes;
    }

    task<void> submit_one(const ledger_request& request, ledger_outcome& outcome, std::size_t& ended) {
        outcome = co_await writer.submit(request);
        ++ended;
    }

    tokens taken() const { return ledger->stored.ledger.taken_by_all("c"); }

    asio::io_context context;
    std::shared_ptr<shared_ledger> ledger = std::make_shared<shared_ledger>();
    faulty_writer writer{context, faulty_ledger(ledger), [](const char*, Json::Value) {
                         }};
};

TEST_F(ledger_writer_test, requests_of_many_routers_share_one_write) {
    std::vector<ledger_request> requests(20, take_request("", 10));
    for (std::size_t i = 0; i < requests.size(); ++i) {
        requests[i].router = "router-" + std::to_string(i);
    }
    for (const ledger_outcome& outcome : submit(requests)) {
        EXPECT_EQ(ledger_outcome::status_kind::applied, outcome.status);
    }
    EXPECT_EQ(1, ledger->writes);
    EXPECT_EQ(200, taken());
}

TEST_F(ledger_writer_test, grants_stop_at_the_prepaid_tokens_and_report_the_reduction) {
    const auto outcomes = submit({take_request("a", 700), take_request("b", 700)});
    EXPECT_EQ(prepaid, taken());
    const auto last = outcomes[1].current.ledger.last_write("b");
    EXPECT_EQ(300, last.granted("c", 700));
}

TEST_F(ledger_writer_test, repeated_request_is_applied_once) {
    submit({take_request("a", 100)});
    const auto again = submit({take_request("a", 100)});
    EXPECT_EQ(ledger_outcome::status_kind::applied, again[0].status);
    EXPECT_EQ(100, taken());
}

TEST_F(ledger_writer_test, request_older_than_the_last_write_of_its_router_is_refused) {
    submit({take_request("a", 100, 2, 0)});
    const auto late = submit({take_request("a", 100, 1, 0)});
    EXPECT_EQ(ledger_outcome::status_kind::refused, late[0].status);
    EXPECT_EQ(2U, late[0].current.ledger.last_write("a").sequence);
    EXPECT_EQ(100, taken());
}

TEST_F(ledger_writer_test, refusal_depends_on_the_stored_ledger_rather_than_the_cached_one) {
    submit({take_request("a", 100, 1, 0)});
    budget_ledger elsewhere = ledger->stored.ledger; // Another writer has written sequence 2.
    elsewhere.writers["a"].sequence = 2;
    ledger->apply(elsewhere, ledger->stored.position.revision);
    const auto next = submit({take_request("a", 50, 3, 2)});
    EXPECT_EQ(ledger_outcome::status_kind::applied, next[0].status);
    EXPECT_EQ(150, taken());
}

TEST_F(ledger_writer_test, concurrent_writers_preserve_each_others_changes) {
    faulty_writer other(context, faulty_ledger(ledger), [](const char*, Json::Value) {});
    run_task(context, [&]() -> task<void> {
        for (std::uint64_t i = 1; i <= 10; ++i) {
            const ledger_request a = take_request("a", 10, i, i - 1);
            const ledger_request b = take_request("b", 10, i, i - 1);
            (void)co_await writer.submit(a);
            (void)co_await other.submit(b);
        }
    });
    EXPECT_EQ(200, taken());
}

TEST_F(ledger_writer_test, stream_of_urgent_requests_is_batched_into_few_writes) {
    constexpr std::size_t count = 100;
    std::vector<ledger_request> requests(count, take_request("", 1));
    for (std::size_t i = 0; i < count; ++i) {
        requests[i].router = "router-" + std::to_string(i);
        requests[i].is_urgent = true;
    }
    const auto started = std::chrono::steady_clock::now();
    submit(requests, 2ms);
    const auto max_writes =
        (std::chrono::steady_clock::now() - started) / faulty_writer::min_batch_interval + 1;
    EXPECT_EQ(tokens(count), taken());
    EXPECT_LE(ledger->writes, max_writes);
}

TEST_F(ledger_writer_test, urgent_request_does_not_wait_for_a_batch) {
    ledger_request urgent = take_request("a", 10);
    urgent.is_urgent = true;
    const auto started = std::chrono::steady_clock::now();
    submit({urgent});
    EXPECT_LT(std::chrono::steady_clock::now() - started, faulty_writer::batch_delay);
}

TEST_F(ledger_writer_test, request_ends_as_unknown_while_the_store_is_unreachable) {
    ledger->down = true;
    const auto outcomes = submit({take_request("a", 100)});
    EXPECT_EQ(ledger_outcome::status_kind::unknown, outcomes[0].status);
    EXPECT_FALSE(outcomes[0].error.empty());
}

TEST_F(ledger_writer_test, read_request_returns_the_ledger_and_writes_nothing) {
    submit({take_request("a", 100)});
    const auto outcomes = submit({read_request("b")});
    EXPECT_EQ(ledger_outcome::status_kind::applied, outcomes[0].status);
    EXPECT_EQ(100, outcomes[0].current.ledger.taken_by_all("c"));
    EXPECT_EQ(1, ledger->writes);
}

TEST_F(ledger_writer_test, read_request_after_a_write_is_answered_from_the_cache) {
    run_task(context, [&]() -> task<void> {
        const ledger_request first = take_request("a", 100);
        (void)co_await writer.submit(first);
        ledger_request second = read_request("b");
        second.is_urgent = true;
        co_await sleep_for(faulty_writer::min_batch_interval);
        ledger->down = true;
        const ledger_outcome outcome = co_await writer.submit(second);
        EXPECT_EQ(ledger_outcome::status_kind::applied, outcome.status);
    });
}

TEST_F(ledger_writer_test, request_to_a_slow_store_reports_that_the_writer_still_tries) {
    ledger->added_latency = 600ms;
    const auto first = submit({take_request("a", 100)});
    EXPECT_EQ(ledger_outcome::status_kind::unknown, first[0].status);
    EXPECT_TRUE(first[0].still_trying);
}

TEST(ledger_request_test, json_round_trip_preserves_all_fields) {
    ledger_request sent = take_request("a", -5, 8, 7);
    sent.is_urgent = true;
    sent.notice_address = "127.0.0.1:9";
    const auto read = parse_ledger_request(to_json(sent));
    ASSERT_TRUE(read.ok()) << read.error().text();
    EXPECT_EQ(to_text(to_json(sent)), to_text(to_json(read.value())));
}

TEST(ledger_request_test, error_names_the_invalid_field) {
    Json::Value document = to_json(take_request("a", 5));
    document["previous"] = "x";
    const auto read = parse_ledger_request(document);
    ASSERT_FALSE(read.ok());
    EXPECT_NE(std::string::npos, read.error().message.find("\"previous\"")) << read.error().text();
}

TEST(ledger_outcome_test, json_round_trip_preserves_reduced_grants) {
    ledger_outcome outcome;
    outcome.status = ledger_outcome::status_kind::applied;
    outcome.current.position.revision = 4;
    outcome.current.ledger.change("a", {1, 0, "", {}}, {{"c", {700, 100}}});
    const auto read = parse_ledger_outcome(to_json(outcome));
    ASSERT_TRUE(read.ok()) << read.error().text();
    EXPECT_EQ(100, read.value().current.ledger.last_write("a").granted("c", 700));
}

} // namespace
} // namespace eelgrassgw

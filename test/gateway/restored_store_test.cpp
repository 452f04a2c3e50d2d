/// Tests that nothing is undone when the store comes back from a copy some seconds old: tokens that were
/// granted are not granted again, servers that left get no requests, and no older configuration returns.

#include "budgets/write_history.h"
#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// Time in which the router notices a restore: its watches end at once, and it lists again.
constexpr auto notice_time = 400ms;

/// Time after which tokens are granted again, with a margin.
constexpr auto recovery_time = 4s;

const std::string prompt_headers = "Token-Counts: 1000,60\r\nPrompt-Prefix: aa:10,bb:10\r\n";

scripted_backend::script_type streaming_ten_events() {
    return [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        for (int id = 1; id <= 10; ++id) {
            co_await e.piece("id: " + std::to_string(id) + "\ndata: x\n\n");
        }
        co_await e.end();
    };
}

class restored_store_test : public gateway_fixture {
protected:
    /// Each request uses 1060 of these, so that five are covered.
    static constexpr tokens prepaid = 5500;

    void SetUp() override {
        configure(routes(), 1, prepaid);
        add_backend("model", "models", streaming_ten_events());
        add_backend("s1", "plain", answering("s1"));
    }

    static std::vector<test_route> routes() {
        return {{"/read/"}, {"/ask/", "streaming", "models", 1, 3000, true, false}};
    }

    task<unsigned> look_up() { co_return (co_await call(request("GET", "/read/")))->result_int(); }
    task<unsigned> ask() {
        co_return (co_await call(request("POST", "/ask/", prompt_headers, "p")))->result_int();
    }

    /// Asks until `n` requests were served or `limit` has passed. Returns the number of served requests.
    task<int> ask_until_served(int n, std::chrono::milliseconds limit) {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        int served = 0;
        while (served < n && std::chrono::steady_clock::now() < deadline) {
            served += co_await ask() == 200 ? 1 : 0;
            co_await sleep_for(50ms);
        }
        co_return served;
    }
};

TEST_F(restored_store_test, tokens_that_were_spent_after_the_copy_are_not_granted_again) {
    run([&]() -> task<void> {
        EXPECT_EQ(200U, co_await ask());
        store.take_copy();
        EXPECT_EQ(3, co_await ask_until_served(3, 2s));
        store.restore_copy();
        co_await sleep_for(recovery_time);
        EXPECT_EQ(1, co_await ask_until_served(3, 1500ms));
        EXPECT_EQ(402U, co_await ask());
        EXPECT_GE(taken_tokens(), 5 * 1060);
        EXPECT_LE(taken_tokens(), prepaid);
    });
}

TEST_F(restored_store_test, two_restores_in_a_row_forget_no_grant) {
    run([&]() -> task<void> {
        EXPECT_EQ(200U, co_await ask());
        store.take_copy();
        EXPECT_EQ(3, co_await ask_until_served(3, 2s));
        store.restore_copy();
        co_await sleep_for(300ms);
        store.restore_copy();
        co_await sleep_for(recovery_time);
        EXPECT_EQ(1, co_await ask_until_served(3, 1500ms));
        EXPECT_GE(taken_tokens(), 5 * 1060);
    });
}

TEST_F(restored_store_test, requests_that_need_a_grant_are_told_to_come_back_during_the_recovery) {
    run([&]() -> task<void> {
        store.take_copy();
        EXPECT_EQ(200U, co_await ask());
        store.restore_copy();
        co_await sleep_for(notice_time);
        for (int i = 0; i < 5; ++i) {
            const unsigned status = co_await ask();
            EXPECT_TRUE(status == 200 || status == 503) << status;
        }
    });
}

TEST_F(restored_store_test, tokens_of_a_router_that_died_stay_withheld) {
    Json::Value ledger;
    ledger["taken"]["acme"] = 2000;
    ledger["era"] = 1;
    ledger["writers"]["dead-router"]["sequence"] = 7;
    const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
    ledger["writers"]["dead-router"]["written_at_ms"] =
        Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(unix_time).count());
    store.put("eelgrass-budgets", "all", ledger);
    store.take_copy();
    store.restore_copy();
    run([&]() -> task<void> {
        co_await sleep_for(12s);
        EXPECT_EQ(402U, co_await ask());
        EXPECT_EQ(prepaid, taken_tokens());
        configure(routes(), 2, prepaid + 2000);
        EXPECT_EQ(1, co_await ask_until_served(1, 3s)) << "the top-up is not granted";
    });
}

TEST_F(restored_store_test, configuration_does_not_go_back) {
    run([&]() -> task<void> {
        store.take_copy();
        configure({{"/new/"}}, 2);
        co_await sleep_for(200ms);
        store.restore_copy();
        co_await sleep_for(notice_time);
        EXPECT_EQ(404U, co_await look_up());
        EXPECT_EQ(200U, (co_await call(request("GET", "/new/")))->result_int());
        configure({{"/newer/"}}, 3); // Its revision was given out before.
        co_await sleep_for(notice_time);
        EXPECT_EQ(200U, (co_await call(request("GET", "/newer/")))->result_int());
    });
}

TEST_F(restored_store_test, server_that_was_draining_gets_no_requests_although_the_copy_lists_it_as_ready) {
    auto& leaving = add_backend("s2", "plain", answering("s2"));
    run([&]() -> task<void> {
        store.take_copy();
        announce("s2", "plain", leaving.address(), "draining");
        co_await sleep_for(200ms);
        store.restore_copy();
        co_await sleep_for(notice_time);
        for (int i = 0; i < 10; ++i) {
            EXPECT_EQ(200U, co_await look_up());
        }
        EXPECT_TRUE(leaving.arrived().empty());
    });
}

TEST_F(restored_store_test, server_that_the_copy_lacks_is_served_on_and_kept_once_it_is_written_again) {
    run([&]() -> task<void> {
        store.take_copy();
        auto& joined = add_backend("s2", "plain", answering("s2"));
        co_await sleep_for(200ms);
        store.restore_copy();
        co_await sleep_for(notice_time);
        announce("s2", "plain", joined.address(), "ready");
        co_await sleep_for(2500ms);
        for (int i = 0; i < 30; ++i) {
            EXPECT_EQ(200U, co_await look_up());
        }
        EXPECT_FALSE(joined.arrived().empty());
    });
}

TEST(write_history_test, sum_contains_only_later_writes) {
    write_history history;
    const auto now = write_history::clock::now();
    history.add(1, {{"c", 100}}, now);
    history.add(2, {{"c", 30}, {"d", 5}}, now);
    history.add(4, {{"c", -20}}, now);
    EXPECT_EQ((std::map<std::string, tokens>{{"c", 10}, {"d", 5}}), history.sum_after(1));
    EXPECT_TRUE(history.sum_after(4).empty());
}

TEST(write_history_test, writes_that_are_no_longer_kept_one_by_one_count_as_forgotten) {
    write_history history;
    const auto now = write_history::clock::now();
    history.add(1, {{"c", 100}}, now);
    history.add(2, {{"c", 30}}, now + 1s);
    history.add(3, {{"c", 7}}, now + 2 * write_history::retention);
    EXPECT_EQ(137, history.sum_after(1).at("c"));
    EXPECT_EQ(7, history.sum_after(2).at("c"));
}

TEST(budget_ledger_recovery_test, missing_router_that_comes_back_releases_what_was_withheld) {
    budget_ledger ledger;
    ledger.era = 1;
    ledger.taken["c"] = 100;
    ledger.writers["a"].written_at_ms = 1;
    ledger.begin_recovery(2);
    ledger.change("b", {1, 1, "", {}}, {{"c", {50, 1000}}});
    EXPECT_EQ(100, ledger.taken_by_all("c")) << "granted during the recovery";
    ledger.end_recovery();
    ledger.change("b", {2, 1, "", {}}, {{"c", {50, 1000}}});
    EXPECT_EQ(1000, ledger.taken_by_all("c"));
    ledger.restore("a", {9, 1, "", {}}, {{"c", {70, 1000}}});
    EXPECT_EQ(170, ledger.taken_by_all("c"));
}

TEST(budget_ledger_recovery_test, stored_ledger_keeps_the_state_of_a_recovery) {
    budget_ledger ledger;
    ledger.era = 3;
    ledger.is_recovering = true;
    ledger.awaited = {"a"};
    ledger.missing = {"b"};
    ledger.withheld["c"] = 7;
    ledger.writers["d"].closed = true;
    const auto read = parse_budget_ledger(to_json(ledger));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(3U, read.value().era);
    EXPECT_TRUE(read.value().is_recovering);
    EXPECT_EQ(ledger.awaited, read.value().awaited);
    EXPECT_EQ(ledger.missing, read.value().missing);
    EXPECT_EQ(ledger.withheld, read.value().withheld);
    EXPECT_TRUE(read.value().last_write("d").closed);
}

} // namespace
} // namespace eelgrassgw

#include "eelgrassgw/recovery/recoverer.h"

#include "eelgrassgw/ledger/top_up.h"
#include "eelgrassgw/recovery/failure_detector.h"
#include "test/fakes/memory_object_store.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

namespace eelgrassgw {
namespace {

using test::memory_object_store;
using test::write_fault;

billing_record make_record(const std::string& id, int attempt, tokens billed) {
    billing_record record;
    record.request_id = id;
    record.customer = "ikoyi";
    record.budget = "main";
    record.attempt = attempt;
    record.billed = billed;
    return record;
}

/// Tests the recovery of the failed router "r1", which holds 100 of 1000 tokens. One agent has its records.
class recoverer_test : public testing::Test {
protected:
    recoverer_test() {
        EXPECT_TRUE(pay_in(store, {"ikoyi", "main", "first", 1000}, 1).ok());
        ledger_shard shard = ledger();
        EXPECT_TRUE(shard.grant("r1", "main", 100).ok());
        write_ledger(shard);
        router_member router;
        router.incarnation = "r1";
        router.address = {"127.0.0.1", 1};
        EXPECT_TRUE(store.put(router_key("r1"), router.to_text(), absent_version).ok());
        write_agent({});
    }

    ledger_shard ledger() { return ledger_shard::from_text(store.get(ledger_key(0)).value()->value).value(); }

    void write_ledger(const ledger_shard& shard) {
        EXPECT_TRUE(
            store.put(ledger_key(0), shard.to_text(), store.get(ledger_key(0)).value()->version).ok());
    }

    void write_agent(const std::vector<lost_incarnation>& lost) {
        agent_member agent;
        agent.backend_server = "engine";
        agent.incarnation = "engine-1";
        agent.address = {"127.0.0.1", 2};
        agent.lost_incarnations = lost;
        const auto existing = store.get(agent_key("engine"));
        const object_version version = existing.value() ? existing.value()->version : absent_version;
        EXPECT_TRUE(store.put(agent_key("engine"), agent.to_text(), version).ok());
    }

    agent_calls make_agent_calls() {
        agent_calls calls;
        calls.seal = [this](const agent_member& agent, const std::string&) -> result<seal_answer> {
            if (!agent_answers) {
                return make_failure(errc::unreachable, "seal", "engine", "down");
            }
            return seal_answer{agent.incarnation, unfinished_runs, records};
        };
        calls.mark_journalled = [this](const agent_member&, const std::vector<std::string>&) {
            if (agent_confirms) {
                records.clear();
            }
            return agent_confirms;
        };
        return calls;
    }

    result<recovery_progress> recover() {
        return recoverer<memory_object_store>(store, make_agent_calls(), 1).recover("r1");
    }

    memory_object_store store;
    bool agent_answers = true;
    bool agent_confirms = true;
    int unfinished_runs = 0;
    std::vector<billing_record> records;
};

TEST_F(recoverer_test, unspent_allowance_returns) {
    ASSERT_TRUE(recover().value().finished);
    EXPECT_EQ(ledger().free_tokens("main"), 1000);
}

TEST_F(recoverer_test, records_that_only_the_agent_has_are_billed) {
    records = {make_record("q", 1, 30)};
    ASSERT_TRUE(recover().value().finished);
    EXPECT_EQ(ledger().find_budget("main")->settled, 30);
    EXPECT_EQ(ledger().free_tokens("main"), 970);
}

TEST_F(recoverer_test, record_that_the_journal_has_is_billed_once) {
    records = {make_record("q", 1, 30)};
    journal_segment segment;
    segment.incarnation = "r1";
    segment.writer = "w";
    segment.records = records;
    ASSERT_TRUE(journal_store<memory_object_store>(store).append(segment).ok());
    ASSERT_TRUE(recover().value().finished);
    EXPECT_EQ(ledger().find_budget("main")->settled, 30);
}

TEST_F(recoverer_test, waits_for_an_agent_that_does_not_answer) {
    agent_answers = false;
    EXPECT_FALSE(recover().value().finished);
    EXPECT_EQ(ledger().granted_tokens("main"), 100);
}

TEST_F(recoverer_test, notes_for_operators_which_agent_it_waits_for) {
    agent_answers = false;
    (void)recover();
    const auto entry = router_member::from_object(*store.get(router_key("r1")).value());
    EXPECT_NE(entry.value().recovery_note.find("engine-1"), std::string::npos) << entry.value().recovery_note;
}

TEST_F(recoverer_test, waits_for_runs_that_have_not_ended) {
    unfinished_runs = 1;
    EXPECT_FALSE(recover().value().finished);
}

TEST_F(recoverer_test, allowance_is_withheld_if_an_agents_records_are_lost) {
    write_agent({{"engine-0", {"r1"}}});
    ASSERT_TRUE(recover().value().finished);
    EXPECT_EQ(ledger().find_budget("main")->withheld, 100);
}

TEST_F(recoverer_test, acknowledged_loss_withholds_nothing) {
    write_agent({{"engine-0", {"r1"}}});
    journal_segment segment;
    segment.incarnation = "r1";
    segment.writer = "w";
    segment.lost_agents = {"engine-0"};
    ASSERT_TRUE(journal_store<memory_object_store>(store).append(segment).ok());
    ASSERT_TRUE(recover().value().finished);
    EXPECT_EQ(ledger().find_budget("main")->withheld, 0);
}

TEST_F(recoverer_test, finishes_only_after_the_agent_confirms_that_its_records_are_journalled) {
    records = {make_record("q", 1, 30)};
    agent_confirms = false;
    EXPECT_FALSE(recover().value().finished);
    agent_confirms = true;
    EXPECT_TRUE(recover().value().finished);
    EXPECT_EQ(ledger().find_budget("main")->settled, 30);
}

TEST_F(recoverer_test, repeated_recovery_changes_nothing) {
    records = {make_record("q", 1, 30)};
    ASSERT_TRUE(recover().value().finished);
    (void)recover();
    EXPECT_EQ(ledger().find_budget("main")->settled, 30);
}

TEST_F(recoverer_test, recovery_interrupted_after_any_write_is_finished_by_another) {
    records = {make_record("q", 1, 30)};
    for (int successful_writes = 1; successful_writes < 8; ++successful_writes) {
        int writes = 0;
        store.before_put = [&](const std::string&) {
            store.down = ++writes > successful_writes;
        };
        (void)recover();
        store.before_put = nullptr;
        store.down = false;
    }
    (void)recover();
    EXPECT_EQ(ledger().find_budget("main")->settled, 30);
    EXPECT_EQ(ledger().free_tokens("main"), 970);
}

TEST_F(recoverer_test, lost_answer_at_any_write_bills_once) {
    records = {make_record("q", 1, 30)};
    for (int i = 0; i < 6; ++i) {
        store.next_write = write_fault::lost_answer;
        (void)recover();
    }
    EXPECT_EQ(ledger().find_budget("main")->settled, 30);
    EXPECT_EQ(ledger().free_tokens("main"), 970);
}

TEST_F(recoverer_test, allowance_taken_after_the_recovery_is_released) {
    ASSERT_TRUE(recover().value().finished);
    ledger_shard shard = ledger();
    ASSERT_TRUE(shard.grant("r1", "main", 50).ok());
    write_ledger(shard);
    EXPECT_EQ(recoverer<memory_object_store>(store, make_agent_calls(), 1).release_orphaned_holders().value(),
              1U);
    EXPECT_EQ(ledger().free_tokens("main"), 1000);
}

TEST_F(recoverer_test, allowance_of_a_live_router_is_not_released) {
    EXPECT_EQ(recoverer<memory_object_store>(store, make_agent_calls(), 1).release_orphaned_holders().value(),
              0U);
}

TEST(missing_records_test, second_attempt_of_a_request_is_withheld) {
    const auto missing = missing_records({}, {make_record("q", 1, 10), make_record("q", 2, 20)});
    ASSERT_EQ(missing.size(), 2U);
    EXPECT_EQ(missing[0].billed, 20);
    EXPECT_EQ(missing[1].billed, 0);
    EXPECT_EQ(missing[1].withheld, 10);
}

TEST(failure_detector_test, ring_successors_are_the_next_routers) {
    EXPECT_EQ(ring_successors("b", {"a", "b", "c"}, 1), std::vector<std::string>{"c"});
    EXPECT_EQ(ring_successors("c", {"a", "b", "c"}, 1), std::vector<std::string>{"a"});
}

TEST(failure_detector_test, router_with_an_unchanged_heartbeat_is_suspected) {
    memory_object_store store;
    ASSERT_TRUE(store.put(heartbeat_key("r1"), "1", absent_version).ok());
    failure_detector<memory_object_store> detector(store, std::chrono::seconds(10));
    const steady_time begin{};
    EXPECT_TRUE(detector.find_suspects({"r1"}, begin).empty());
    EXPECT_EQ(detector.find_suspects({"r1"}, begin + std::chrono::seconds(10)).size(), 1U);
}

TEST(failure_detector_test, outage_of_the_object_api_does_not_make_routers_suspected) {
    memory_object_store store;
    ASSERT_TRUE(store.put(heartbeat_key("r1"), "1", absent_version).ok());
    failure_detector<memory_object_store> detector(store, std::chrono::seconds(10));
    const steady_time begin{};
    (void)detector.find_suspects({"r1"}, begin);
    store.down = true;
    (void)detector.find_suspects({"r1"}, begin + std::chrono::seconds(5));
    store.down = false;
    EXPECT_TRUE(detector.find_suspects({"r1"}, begin + std::chrono::seconds(20)).empty());
}

TEST_F(recoverer_test, agents_are_asked_in_parallel) {
    agent_member other;
    other.backend_server = "engine-b";
    other.incarnation = "engine-b-1";
    other.address = {"127.0.0.1", 3};
    ASSERT_TRUE(store.put(agent_key("engine-b"), other.to_text(), absent_version));
    constexpr std::chrono::seconds timeout{10};
    std::mutex mutex;
    std::condition_variable changed;
    int asked_agents = 0;
    bool both_asked = false;
    agent_calls concurrent_calls = make_agent_calls();
    concurrent_calls.seal = [&](const agent_member& agent, const std::string&) -> result<seal_answer> {
        std::unique_lock lock(mutex);
        ++asked_agents;
        changed.notify_all();
        both_asked = changed.wait_for(lock, timeout, [&] { return asked_agents == 2; });
        return seal_answer{agent.incarnation, 0, {}};
    };
    ASSERT_TRUE(recoverer<memory_object_store>(store, concurrent_calls, 1).recover("r1").value().finished);
    EXPECT_TRUE(both_asked);
}

} // namespace
} // namespace eelgrassgw

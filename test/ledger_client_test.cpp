#include "eelgrassgw/ledger/ledger_client.h"

#include "eelgrassgw/ledger/top_up.h"
#include "test/fakes/memory_object_store.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using test::write_fault;

constexpr unsigned one_shard = 1;

/// Tests one router's ledger client with a budget of 1000 tokens.
class ledger_client_test : public testing::Test {
protected:
    using client = ledger_client<test::memory_object_store, fixed_chunk_policy>;

    ledger_client_test() { EXPECT_TRUE(pay_in(store, {"ikoyi", "main", "first", 1000}, one_shard).ok()); }

    client make_client(const std::string& incarnation, allowance_book& book) {
        return client(store, incarnation, one_shard, book, {200}, [] { return std::size_t{2}; });
    }

    ledger_shard ledger() { return ledger_shard::from_text(store.get(ledger_key(0)).value()->value).value(); }

    tokens allowance_of(const std::string& incarnation) {
        const ledger_shard shard = ledger();
        const allowance_holder* holder = shard.find_holder(incarnation);
        return holder == nullptr || !holder->allowances.contains("main") ? 0 : holder->allowances.at("main");
    }

    static journal_segment make_segment(std::int64_t number, tokens billed) {
        journal_segment s;
        s.number = number;
        billing_record record;
        record.request_id = "r" + std::to_string(number);
        record.budget = "main";
        record.billed = billed;
        s.records.push_back(record);
        return s;
    }

    test::memory_object_store store;
    allowance_book book;
    client first_client{make_client("one", book)};
};

TEST_F(ledger_client_test, reservation_without_an_allowance_requests_a_grant) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    EXPECT_EQ(allowance_of("one"), 200);
}

TEST_F(ledger_client_test, reservation_within_the_allowance_makes_no_call) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    const std::uint64_t calls = store.calls;
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    EXPECT_EQ(store.calls, calls);
}

TEST_F(ledger_client_test, exhausted_budget_is_distinguished_from_an_unreachable_one) {
    EXPECT_TRUE(first_client.reserve("main", 1001).failed_with(errc::budget_exhausted));
    store.down = true;
    EXPECT_TRUE(first_client.reserve("main", 50).failed_with(errc::budget_unreachable));
}

TEST_F(ledger_client_test, allowance_can_be_spent_while_the_object_api_is_down) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    store.down = true;
    EXPECT_TRUE(first_client.reserve("main", 150).ok());
}

TEST_F(ledger_client_test, grant_with_a_lost_answer_is_counted_once) {
    store.next_write = write_fault::lost_answer;
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    EXPECT_EQ(allowance_of("one"), 200);
    EXPECT_EQ(book.state("main").granted, 200);
}

TEST_F(ledger_client_test, grant_whose_request_was_lost_is_retried) {
    store.next_write = write_fault::lost_request;
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    EXPECT_EQ(allowance_of("one"), 200);
    EXPECT_EQ(book.state("main").granted, 200);
}

TEST_F(ledger_client_test, grant_that_the_transport_sends_twice_is_counted_once) {
    store.next_write = write_fault::sent_twice;
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    EXPECT_EQ(allowance_of("one"), 200);
    EXPECT_EQ(book.state("main").granted, 200);
}

TEST_F(ledger_client_test, return_with_a_lost_answer_is_subtracted_once) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    store.next_write = write_fault::lost_answer;
    EXPECT_EQ(first_client.give_back("main", 150).value(), 150);
    EXPECT_EQ(allowance_of("one"), 50);
    EXPECT_EQ(book.state("main").granted, 50);
}

TEST_F(ledger_client_test, return_whose_request_was_lost_is_subtracted_once) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    store.next_write = write_fault::lost_request;
    EXPECT_EQ(first_client.give_back("main", 150).value(), 150);
    EXPECT_EQ(allowance_of("one"), 50);
    EXPECT_EQ(book.state("main").granted, 50);
}

TEST_F(ledger_client_test, tokens_being_returned_cannot_be_spent_while_another_client_writes) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    allowance_book other_book;
    client second_client = make_client("two", other_book);
    store.next_write = write_fault::lost_request;
    bool raced = false;
    bool spent_meanwhile = false;
    store.before_put = [&](const std::string&) {
        if (!std::exchange(raced, true)) {
            return;
        }
        store.before_put = nullptr;
        (void)second_client.reserve("main", 10);
        spent_meanwhile = book.reserve("main", 150, std::chrono::steady_clock::now());
    };
    (void)first_client.give_back("main", 150);
    EXPECT_FALSE(spent_meanwhile);
    EXPECT_EQ(book.state("main").granted, allowance_of("one"));
}

TEST_F(ledger_client_test, folded_spend_is_settled) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    book.settle("main", 50, 30);
    first_client.add_unfolded(make_segment(0, 30));
    ASSERT_TRUE(first_client.fold_all().ok());
    EXPECT_EQ(ledger().find_budget("main")->settled, 30);
    EXPECT_EQ(book.state("main").granted, 170);
}

TEST_F(ledger_client_test, fold_with_a_lost_answer_settles_once) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    book.settle("main", 50, 30);
    first_client.add_unfolded(make_segment(0, 30));
    store.next_write = write_fault::lost_answer;
    ASSERT_TRUE(first_client.fold_all().ok());
    ASSERT_TRUE(first_client.fold_all().ok());
    EXPECT_EQ(ledger().find_budget("main")->settled, 30);
    EXPECT_EQ(book.state("main").spent, 0);
}

TEST_F(ledger_client_test, closed_holder_fences_its_client) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    ledger_shard shard = ledger();
    shard.close_holder("one");
    const object_version version = store.get(ledger_key(0)).value()->version;
    ASSERT_TRUE(store.put(ledger_key(0), shard.to_text(), version).ok());
    EXPECT_TRUE(first_client.reserve("main", 500).failed_with(errc::fenced));
}

TEST_F(ledger_client_test, concurrent_clients_never_reserve_more_than_was_paid) {
    allowance_book other_book;
    client second_client = make_client("two", other_book);
    for (int i = 0; i < 10; ++i) {
        (void)first_client.reserve("main", 90);
        (void)second_client.reserve("main", 90);
    }
    EXPECT_GE(ledger().free_tokens("main"), 0);
    EXPECT_LE(book.state("main").reserved + other_book.state("main").reserved, 1000);
}

TEST_F(ledger_client_test, close_returns_everything) {
    ASSERT_TRUE(first_client.reserve("main", 50).ok());
    book.settle("main", 50, 0);
    ASSERT_TRUE(first_client.close().ok());
    EXPECT_EQ(ledger().free_tokens("main"), 1000);
}

} // namespace
} // namespace eelgrassgw

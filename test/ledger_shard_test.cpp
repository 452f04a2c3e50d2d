#include "eelgrassgw/ledger/ledger_shard.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

ledger_shard make_shard(tokens paid) {
    ledger_shard shard;
    EXPECT_TRUE(shard.top_up("ikoyi", "main", "first", paid).ok());
    return shard;
}

TEST(ledger_shard_test, refuses_grant_of_more_than_was_paid) {
    ledger_shard shard = make_shard(100);
    EXPECT_TRUE(shard.grant("r1", "main", 101).failed_with(errc::budget_exhausted));
}

TEST(ledger_shard_test, grants_to_two_holders_cannot_exceed_the_paid_tokens) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.grant("r1", "main", 60).ok());
    EXPECT_TRUE(shard.grant("r2", "main", 41).failed_with(errc::budget_exhausted));
}

TEST(ledger_shard_test, repeated_top_up_counts_once) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.top_up("ikoyi", "main", "first", 100).ok());
    EXPECT_EQ(shard.find_budget("main")->paid, 100);
}

TEST(ledger_shard_test, refuses_top_up_id_with_another_amount) {
    ledger_shard shard = make_shard(100);
    EXPECT_TRUE(shard.top_up("ikoyi", "main", "first", 50).failed_with(errc::refused));
}

TEST(ledger_shard_test, refuses_top_up_of_another_customers_budget) {
    ledger_shard shard = make_shard(100);
    EXPECT_TRUE(shard.top_up("officina", "main", "second", 50).failed_with(errc::refused));
}

TEST(ledger_shard_test, folding_a_segment_twice_settles_once) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.grant("r1", "main", 50).ok());
    ASSERT_TRUE(shard.fold("r1", 0, {{"main", 10, 0}}).ok());
    ASSERT_TRUE(shard.fold("r1", 0, {{"main", 10, 0}}).ok());
    EXPECT_EQ(shard.find_budget("main")->settled, 10);
}

TEST(ledger_shard_test, refuses_fold_beyond_the_allowance) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.grant("r1", "main", 5).ok());
    EXPECT_TRUE(shard.fold("r1", 0, {{"main", 6, 0}}).failed_with(errc::refused));
}

TEST(ledger_shard_test, refused_fold_changes_nothing) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.grant("r1", "main", 5).ok());
    const std::string before = shard.to_text();
    (void)shard.fold("r1", 0, {{"main", 6, 0}});
    EXPECT_EQ(shard.to_text(), before);
}

TEST(ledger_shard_test, closing_a_holder_frees_its_allowance) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.grant("r1", "main", 60).ok());
    shard.close_holder("r1");
    EXPECT_EQ(shard.free_tokens("main"), 100);
}

TEST(ledger_shard_test, closing_a_holder_with_withholding_does_not_free_its_allowance) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.grant("r1", "main", 60).ok());
    shard.close_holder_withholding("r1");
    EXPECT_EQ(shard.free_tokens("main"), 40);
}

TEST(ledger_shard_test, refuses_return_beyond_the_allowance) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.grant("r1", "main", 5).ok());
    EXPECT_TRUE(shard.give_back("r1", "main", 6).failed_with(errc::refused));
}

TEST(ledger_shard_test, parsing_the_stored_text_restores_the_shard) {
    ledger_shard shard = make_shard(100);
    ASSERT_TRUE(shard.grant("r1", "main", 60).ok());
    ASSERT_TRUE(shard.fold("r1", 3, {{"main", 10, 2}}).ok());
    const result<ledger_shard> read = ledger_shard::from_text(shard.to_text());
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read.value().to_text(), shard.to_text());
}

} // namespace
} // namespace eelgrassgw

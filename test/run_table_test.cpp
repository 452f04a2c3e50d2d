#include "eelgrassgw/run/run_table.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

ticket make_ticket(const std::string& id, const std::string& nonce = "n1") {
    ticket t;
    t.request_id = id;
    t.router = "r1";
    t.nonce = nonce;
    t.digest = "d";
    t.reserved = 10;
    return t;
}

void end_run(run& r, run_state state) {
    run_outcome outcome;
    outcome.state = state;
    outcome.used = 5;
    r.finish(outcome);
}

class run_table_test : public testing::Test {
protected:
    run_table table{run_table_options{}};
};

TEST_F(run_table_test, repeated_request_joins_its_run) {
    const auto first = table.accept(make_ticket("a"));
    const auto second = table.accept(make_ticket("a", "n2"));
    ASSERT_TRUE(second.ok());
    EXPECT_FALSE(second.value().is_new);
    EXPECT_EQ(second.value().run_ptr, first.value().run_ptr);
}

TEST_F(run_table_test, repeated_key_with_another_body_is_refused) {
    (void)table.accept(make_ticket("a"));
    ticket other = make_ticket("a", "n2");
    other.digest = "e";
    EXPECT_TRUE(table.accept(other).failed_with(errc::key_reused));
}

TEST_F(run_table_test, barred_ticket_never_runs) {
    EXPECT_TRUE(table.bar_ticket("a", "n1").barred);
    EXPECT_TRUE(table.accept(make_ticket("a")).failed_with(errc::refused));
}

TEST_F(run_table_test, another_ticket_for_the_same_request_runs_after_one_was_barred) {
    (void)table.bar_ticket("a", "n1");
    EXPECT_TRUE(table.accept(make_ticket("a", "n2")).value().is_new);
}

TEST_F(run_table_test, ticket_that_started_a_run_cannot_be_barred) {
    (void)table.accept(make_ticket("a"));
    EXPECT_FALSE(table.bar_ticket("a", "n1").barred);
}

TEST_F(run_table_test, barred_ticket_never_replaces_an_earlier_run) {
    end_run(*table.accept(make_ticket("a")).value().run_ptr, run_state::not_run);
    (void)table.bar_ticket("a", "n2");
    EXPECT_TRUE(table.accept(make_ticket("a", "n2")).failed_with(errc::refused));
}

TEST_F(run_table_test, sealed_router_is_refused) {
    table.seal_router("r1");
    EXPECT_TRUE(table.accept(make_ticket("a")).failed_with(errc::fenced));
}

TEST_F(run_table_test, late_copy_of_a_refused_ticket_is_refused) {
    run_table draining{run_table_options{}};
    draining.start_draining();
    (void)draining.accept(make_ticket("a"));
    EXPECT_TRUE(draining.accept(make_ticket("a")).failed_with(errc::refused));
}

TEST_F(run_table_test, barred_nonce_is_refused) {
    table.bar_nonce("n1");
    EXPECT_TRUE(table.accept(make_ticket("a")).failed_with(errc::refused));
}

TEST_F(run_table_test, request_that_did_not_run_may_be_repeated) {
    end_run(*table.accept(make_ticket("a")).value().run_ptr, run_state::not_run);
    EXPECT_TRUE(table.accept(make_ticket("a", "n2")).value().is_new);
}

TEST_F(run_table_test, copy_of_a_ticket_that_did_not_run_does_not_run) {
    end_run(*table.accept(make_ticket("a")).value().run_ptr, run_state::not_run);
    EXPECT_FALSE(table.accept(make_ticket("a")).value().is_new);
}

TEST_F(run_table_test, request_that_an_earlier_incarnation_may_have_run_is_refused) {
    table.mark_ran_before({"a"});
    EXPECT_TRUE(table.accept(make_ticket("a")).failed_with(errc::ran_before));
}

TEST_F(run_table_test, record_is_kept_until_it_is_journalled) {
    end_run(*table.accept(make_ticket("a")).value().run_ptr, run_state::done);
    table.expire(std::chrono::steady_clock::now() + std::chrono::hours(2));
    EXPECT_EQ(table.unjournalled_runs("r1").size(), 1U);
    table.mark_journalled({"a"});
    table.expire(std::chrono::steady_clock::now() + std::chrono::hours(2));
    EXPECT_EQ(table.size(), 0U);
}

TEST_F(run_table_test, journalled_output_is_discarded_after_its_retention) {
    const auto accepted = table.accept(make_ticket("a"));
    accepted.value().run_ptr->append_output("text", 1);
    end_run(*accepted.value().run_ptr, run_state::done);
    table.mark_journalled({"a"});
    table.expire(std::chrono::steady_clock::now() + std::chrono::minutes(2));
    EXPECT_TRUE(accepted.value().run_ptr->output_dropped());
}

} // namespace
} // namespace eelgrassgw

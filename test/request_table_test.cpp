/// What a router remembers of the requests it served.

#include "eelgrassgw/router/request_table.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

request_entry entry_in(request_state state, const std::string& agent = "") {
    request_entry entry;
    entry.state = state;
    entry.agent = agent;
    return entry;
}

class request_table_test : public testing::Test {
protected:
    request_table table{3};
};

TEST_F(request_table_test, remembers_a_key_wherever_it_ran) {
    table.note("k-1", entry_in(request_state::done, "engine-2-a"));
    EXPECT_EQ(table.requests_to_remember("engine-1"), (std::vector<std::string>{"k-1"}));
}

TEST_F(request_table_test, does_not_remember_what_did_not_run) {
    table.note("k-1", entry_in(request_state::running));
    table.note("k-1", entry_in(request_state::not_run));
    EXPECT_TRUE(table.requests_to_remember("engine-1").empty());
}

TEST_F(request_table_test, remembers_a_run_although_its_repetition_was_refused) {
    table.note("k-1", entry_in(request_state::done, "engine-1-a"));
    table.note("k-1", entry_in(request_state::running));
    table.note("k-1", entry_in(request_state::not_run));
    EXPECT_EQ(table.find("k-1")->state, request_state::done);
}

TEST_F(request_table_test, keeps_the_newest_entries) {
    for (const char* id : {"r-1", "r-2", "r-3", "r-4"}) {
        table.note(id, entry_in(request_state::done));
    }
    EXPECT_FALSE(table.find("r-1"));
}

} // namespace
} // namespace eelgrassgw

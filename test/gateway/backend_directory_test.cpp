/// Tests which backend servers accept new requests.

#include "backends/backend_directory.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using entry = backend_directory::entry;

entry ready(const std::string& id, std::uint64_t revision) {
    return {{id, "s", "10.0.0.1:80", "dc", 4, false, 0}, revision};
}

entry draining(const std::string& id, std::uint64_t revision) {
    entry e = ready(id, revision);
    e.server.draining = true;
    return e;
}

class backend_directory_test : public ::testing::Test {
protected:
    backend_directory directory;
    backend_directory::clock::time_point now = backend_directory::clock::now();
};

TEST_F(backend_directory_test, draining_server_gets_no_new_requests) {
    directory.put(ready("a", 1));
    directory.put(draining("a", 2));
    EXPECT_TRUE(directory.ready_servers("s").empty());
}

TEST_F(backend_directory_test, older_entry_does_not_undo_a_newer_one) {
    directory.put(draining("a", 2));
    directory.put(ready("a", 1));
    EXPECT_TRUE(directory.ready_servers("s").empty());
}

TEST_F(backend_directory_test, removed_server_is_dropped_immediately) {
    directory.put(ready("a", 1));
    directory.remove("a", 2, false, now);
    EXPECT_TRUE(directory.ready_servers("s").empty());
}

TEST_F(backend_directory_test, server_missing_from_a_list_is_dropped_immediately) {
    directory.put(ready("a", 1));
    directory.replace_all({ready("b", 2)}, false, now);
    ASSERT_EQ(1U, directory.ready_servers("s").size());
    EXPECT_EQ("b", directory.ready_servers("s").front()->server.id);
}

TEST_F(backend_directory_test, entry_that_lapsed_in_an_outage_is_kept_for_the_grace_period) {
    directory.put(ready("a", 1));
    directory.replace_all({}, true, now);
    EXPECT_EQ(0U, directory.remove_lapsed(now + backend_directory::lapse_grace_period - 1ms));
    EXPECT_EQ(1U, directory.ready_servers("s").size());
}

TEST_F(backend_directory_test, lapsed_entry_is_removed_after_the_grace_period) {
    directory.put(ready("a", 1));
    directory.replace_all({}, true, now);
    EXPECT_EQ(1U, directory.remove_lapsed(now + backend_directory::lapse_grace_period));
    EXPECT_TRUE(directory.ready_servers("s").empty());
}

TEST_F(backend_directory_test, lapsed_entry_that_is_listed_again_is_kept) {
    directory.put(ready("a", 1));
    directory.replace_all({}, true, now);
    directory.put(ready("a", 5));
    EXPECT_EQ(0U, directory.remove_lapsed(now + 1h));
}

TEST_F(backend_directory_test, draining_server_has_no_grace_period) {
    directory.put(draining("a", 1));
    directory.remove("a", 2, true, now);
    EXPECT_TRUE(directory.all().empty());
}

TEST_F(backend_directory_test, servers_of_other_services_are_not_listed) {
    directory.put(ready("a", 1));
    EXPECT_TRUE(directory.ready_servers("t").empty());
}

} // namespace
} // namespace eelgrassgw

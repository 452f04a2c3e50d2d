/// Tests which backend servers accept new requests.

#include "backends/backend_directory.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using entry = backend_directory::entry;

entry ready(const std::string& id, std::uint64_t revision, std::uint64_t era = 1) {
    return {{id, "s", "10.0.0.1:80", "dc", "v1", 4, false, 0}, {era, revision}};
}

entry draining(const std::string& id, std::uint64_t revision, std::uint64_t era = 1) {
    entry e = ready(id, revision, era);
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
    directory.remove("a", {1, 2}, false, now);
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
    directory.remove("a", {1, 2}, true, now);
    EXPECT_TRUE(directory.all().empty());
}

TEST_F(backend_directory_test, entry_of_a_restored_store_replaces_one_with_a_higher_revision) {
    directory.put(ready("a", 50, 1));
    directory.put(draining("a", 7, 2));
    EXPECT_TRUE(directory.ready_servers("s").empty());
}

TEST_F(backend_directory_test, late_entry_from_before_a_restore_is_ignored) {
    directory.put(draining("a", 7, 2));
    directory.put(ready("a", 50, 1));
    EXPECT_TRUE(directory.ready_servers("s").empty());
}

TEST_F(backend_directory_test,
       server_that_was_draining_before_a_restore_gets_no_requests_from_the_old_entry) {
    directory.put(draining("a", 50, 1), now);
    directory.put(ready("a", 7, 2), now);
    EXPECT_FALSE(directory.find("a")->accepts_requests(now));
    EXPECT_FALSE(directory.find("a")->accepts_requests(now + backend_directory::restored_entry_doubt - 1ms));
}

TEST_F(backend_directory_test, server_that_was_gone_before_a_restore_gets_no_requests_from_the_old_entry) {
    directory.put(ready("a", 50, 1), now);
    directory.remove("a", {1, 51}, false, now);
    directory.put(ready("a", 7, 2), now);
    EXPECT_FALSE(directory.find("a")->accepts_requests(now));
    EXPECT_TRUE(directory.find("a")->accepts_requests(now + backend_directory::restored_entry_doubt));
}

TEST_F(backend_directory_test, new_incarnation_of_a_server_gets_requests_at_once_after_a_restore) {
    directory.put(draining("a", 50, 1), now);
    entry started_again = ready("a", 7, 2);
    started_again.server.started_ms = 1000;
    directory.put(started_again, now);
    EXPECT_TRUE(directory.find("a")->accepts_requests(now));
}

TEST_F(backend_directory_test, server_that_said_it_is_leaving_stays_out_when_it_is_listed_again) {
    directory.put(ready("a", 1), now);
    directory.find("a")->leaving = true;
    directory.remove("a", {1, 2}, false, now);
    directory.put(ready("a", 3), now);
    EXPECT_TRUE(directory.ready_servers("s").empty());
}

TEST_F(backend_directory_test, time_until_a_service_accepts_requests_is_that_of_its_first_server) {
    directory.put(ready("a", 1));
    directory.put(ready("b", 2));
    directory.find("a")->paused_until = now + 5s;
    EXPECT_EQ(0ms, directory.time_until_accepting("s", now));
    directory.find("b")->paused_until = now + 2s;
    EXPECT_EQ(2s, directory.time_until_accepting("s", now));
    EXPECT_FALSE(directory.time_until_accepting("t", now).has_value());
}

TEST_F(backend_directory_test, busy_server_without_a_byte_for_a_while_is_silent) {
    tracked_backend server;
    EXPECT_FALSE(server.is_silent(now + 1h));
    server.begin_request(now);
    EXPECT_FALSE(server.is_silent(now + tracked_backend::silence_threshold));
    EXPECT_TRUE(server.is_silent(now + tracked_backend::silence_threshold + 1ms));
    server.last_heard_at = now + 1s;
    EXPECT_FALSE(server.is_silent(now + 1s + tracked_backend::silence_threshold));
}

TEST_F(backend_directory_test, servers_of_other_services_are_not_listed) {
    directory.put(ready("a", 1));
    EXPECT_TRUE(directory.ready_servers("t").empty());
}

} // namespace
} // namespace eelgrassgw

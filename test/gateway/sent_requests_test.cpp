/// Tests the memory of requests that may run only once.

#include "gateway/sent_requests.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

const sent_requests::clock::time_point start{1h};

TEST(sent_requests_test, request_is_remembered_until_the_retention_has_passed) {
    sent_requests sent;
    EXPECT_TRUE(sent.insert("a", start));
    EXPECT_FALSE(sent.insert("a", start + 1s));
    EXPECT_TRUE(sent.insert("b", start + sent_requests::retention));
    EXPECT_FALSE(sent.contains("a"));
    EXPECT_TRUE(sent.contains("b"));
}

TEST(sent_requests_test, request_that_was_proved_not_run_may_be_sent_again) {
    sent_requests sent;
    sent.insert("a", start);
    sent.erase("a");
    EXPECT_FALSE(sent.contains("a"));
    EXPECT_TRUE(sent.insert("a", start + 1s));
}

TEST(sent_requests_test, request_that_was_sent_again_is_remembered_from_its_last_send_on) {
    sent_requests sent;
    sent.insert("a", start);
    sent.erase("a");
    sent.insert("a", start + 1min);
    sent.insert("b", start + sent_requests::retention);
    EXPECT_TRUE(sent.contains("a"));
}

TEST(sent_requests_test, oldest_request_is_forgotten_when_there_are_too_many) {
    sent_requests sent;
    for (std::size_t i = 0; i <= sent_requests::max_requests; ++i) {
        sent.insert(std::to_string(i), start);
    }
    EXPECT_EQ(sent_requests::max_requests, sent.size());
    EXPECT_FALSE(sent.contains("0"));
}

} // namespace
} // namespace eelgrassgw

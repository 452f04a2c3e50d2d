/// Tests the memory of requests that may run only once.

#include "gateway/unrepeatable_requests.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

const unrepeatable_requests::clock::time_point start{1h};

TEST(unrepeatable_requests_test, request_is_remembered_until_the_retention_has_passed) {
    unrepeatable_requests requests;
    EXPECT_TRUE(requests.insert("a", start));
    EXPECT_FALSE(requests.insert("a", start + 1s));
    EXPECT_TRUE(requests.insert("b", start + unrepeatable_requests::retention));
    EXPECT_FALSE(requests.contains("a"));
    EXPECT_TRUE(requests.contains("b"));
}

TEST(unrepeatable_requests_test, request_that_was_proved_not_run_may_be_accepted_again) {
    unrepeatable_requests requests;
    requests.insert("a", start);
    requests.erase("a");
    EXPECT_FALSE(requests.contains("a"));
    EXPECT_TRUE(requests.insert("a", start + 1s));
}

TEST(unrepeatable_requests_test, request_that_was_accepted_again_is_remembered_from_then_on) {
    unrepeatable_requests requests;
    requests.insert("a", start);
    requests.erase("a");
    requests.insert("a", start + 1min);
    requests.insert("b", start + unrepeatable_requests::retention);
    EXPECT_TRUE(requests.contains("a"));
}

TEST(unrepeatable_requests_test, oldest_request_is_forgotten_when_there_are_too_many) {
    unrepeatable_requests requests;
    for (std::size_t i = 0; i <= unrepeatable_requests::max_requests; ++i) {
        requests.insert(std::to_string(i), start);
    }
    EXPECT_EQ(unrepeatable_requests::max_requests, requests.size());
    EXPECT_FALSE(requests.contains("0"));
}

} // namespace
} // namespace eelgrassgw

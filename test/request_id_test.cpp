#include "eelgrassgw/run/request_id.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

TEST(request_id_test, same_customer_and_key_give_the_same_id) {
    EXPECT_EQ(request_id_for("ikoyi", "lot-17"), request_id_for("ikoyi", "lot-17"));
}

TEST(request_id_test, same_key_of_another_customer_gives_another_id) {
    EXPECT_NE(request_id_for("ikoyi", "lot-17"), request_id_for("officina", "lot-17"));
}

TEST(request_id_test, requests_without_a_key_get_different_ids) {
    EXPECT_NE(request_id_for("ikoyi", ""), request_id_for("ikoyi", ""));
}

TEST(request_id_test, id_shows_whether_it_was_made_from_a_key) {
    EXPECT_TRUE(has_caller_key(request_id_for("ikoyi", "lot-17")));
    EXPECT_FALSE(has_caller_key(request_id_for("ikoyi", "")));
}

} // namespace
} // namespace eelgrassgw

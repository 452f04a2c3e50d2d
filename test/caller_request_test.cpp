/// Tests for the parser of callers' requests.

#include "eelgrassgw/router/caller_request.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

configuration make_configuration() {
    Json::Value document;
    document["models"].append("lagoon-1");
    return configuration::from_json(document).value();
}

request_limits make_limits() {
    request_limits limits;
    limits.max_tokens_default = 256;
    limits.max_tokens_limit = 4096;
    limits.priority = "normal";
    return limits;
}

/// Reads a valid chat request with the additional JSON members in `additional_members`.
read_result<chat_request> read(const std::string& additional_members) {
    return read_chat_request(R"({"model":"lagoon-1","messages":[{"role":"user","content":"a"}])" +
                                 additional_members + "}",
                             make_configuration(), make_limits());
}

/// Returns the error message for the request, or an empty string if it is accepted.
std::string read_error_message(const std::string& additional_members) {
    const read_result<chat_request> read_request = read(additional_members);
    const auto* error = std::get_if<caller_error>(&read_request);
    return error == nullptr ? "" : error->message;
}

TEST(caller_request_test, accepts_a_plain_request) {
    EXPECT_EQ(read_error_message(""), "");
}

TEST(caller_request_test, refuses_a_fractional_token_limit) {
    EXPECT_EQ(read_error_message(R"(,"max_tokens":1.5)"), "Field \"max_tokens\" must be a whole number.");
}

TEST(caller_request_test, refuses_a_stream_flag_that_is_not_a_boolean) {
    EXPECT_EQ(read_error_message(R"(,"stream":"yes")"), "Field \"stream\" must be true or false.");
}

TEST(caller_request_test, refuses_more_than_one_choice) {
    EXPECT_EQ(read_error_message(R"(,"n":2)"), "Field \"n\" must be 1.");
}

TEST(caller_request_test, treats_null_as_an_absent_field) {
    EXPECT_EQ(read_error_message(R"(,"n":null,"max_tokens":null,"stream":null)"), "");
}

TEST(caller_request_test, refuses_a_message_part_that_is_not_text) {
    EXPECT_EQ(std::get<caller_error>(
                  read_chat_request(
                      R"({"model":"lagoon-1","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
                      make_configuration(), make_limits()))
                  .message,
              "Field \"messages\" holds a part of type \"image_url\"; only \"text\" is supported.");
}

TEST(caller_request_test, has_the_priority_of_the_customer_by_default) {
    EXPECT_EQ(std::get<chat_request>(read("")).priority, "normal");
}

TEST(caller_request_test, accepts_a_lower_priority_than_the_customer_has) {
    EXPECT_EQ(std::get<chat_request>(read(R"(,"priority":"low")")).priority, "low");
}

TEST(caller_request_test, refuses_a_higher_priority_than_the_customer_has) {
    EXPECT_EQ(read_error_message(R"(,"priority":"high")"),
              "Field \"priority\" is \"high\"; allowed: \"normal\" or lower.");
}

TEST(caller_request_test, refuses_a_priority_that_does_not_exist) {
    EXPECT_EQ(read_error_message(R"(,"priority":"urgent")"),
              "Field \"priority\" is \"urgent\"; allowed: \"normal\" or lower.");
}

} // namespace
} // namespace eelgrassgw

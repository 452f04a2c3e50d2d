/// Reading callers' requests.

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

read_result<chat_request> read(const std::string& more) {
    return read_chat_request(R"({"model":"lagoon-1","messages":[{"role":"user","content":"a"}])" + more + "}",
                             make_configuration(), make_limits());
}

/// The message of the refusal; empty where the request was taken.
std::string refusal_of(const std::string& more) {
    const read_result<chat_request> seen = read(more);
    const auto* error = std::get_if<caller_error>(&seen);
    return error == nullptr ? "" : error->message;
}

TEST(caller_request_test, takes_a_plain_request) {
    EXPECT_EQ(refusal_of(""), "");
}

TEST(caller_request_test, refuses_a_fraction_of_a_token) {
    EXPECT_EQ(refusal_of(R"(,"max_tokens":1.5)"), "Field \"max_tokens\" must be a whole number.");
}

TEST(caller_request_test, refuses_a_stream_flag_that_is_no_boolean) {
    EXPECT_EQ(refusal_of(R"(,"stream":"yes")"), "Field \"stream\" must be true or false.");
}

TEST(caller_request_test, refuses_more_than_one_choice) {
    EXPECT_EQ(refusal_of(R"(,"n":2)"), "Field \"n\" must be 1.");
}

TEST(caller_request_test, takes_a_null_as_an_absent_field) {
    EXPECT_EQ(refusal_of(R"(,"n":null,"max_tokens":null,"stream":null)"), "");
}

TEST(caller_request_test, refuses_a_part_that_is_no_text) {
    EXPECT_EQ(std::get<caller_error>(
                  read_chat_request(
                      R"({"model":"lagoon-1","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
                      make_configuration(), make_limits()))
                  .message,
              "Field \"messages\" holds a part of type \"image_url\"; only \"text\" is supported.");
}

TEST(caller_request_test, has_the_priority_of_its_customer) {
    EXPECT_EQ(std::get<chat_request>(read("")).priority, "normal");
}

TEST(caller_request_test, may_ask_for_a_lower_priority) {
    EXPECT_EQ(std::get<chat_request>(read(R"(,"priority":"low")")).priority, "low");
}

TEST(caller_request_test, refuses_a_higher_priority_than_its_customer_has) {
    EXPECT_EQ(refusal_of(R"(,"priority":"high")"),
              "Field \"priority\" is \"high\"; allowed: \"normal\" or lower.");
}

TEST(caller_request_test, refuses_a_priority_that_does_not_exist) {
    EXPECT_EQ(refusal_of(R"(,"priority":"urgent")"),
              "Field \"priority\" is \"urgent\"; allowed: \"normal\" or lower.");
}

} // namespace
} // namespace eelgrassgw

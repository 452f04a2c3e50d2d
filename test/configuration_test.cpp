#include "eelgrassgw/configuration/configuration.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

Json::Value valid_document() {
    return parse_json(R"({
        "defaults": {"max_tokens_limit": 100},
        "models": ["m"],
        "backend_servers": [{"name": "engine", "kind": "model", "serves": ["m"]}],
        "customers": [{"name": "ikoyi", "budgets": ["main"], "keys": []}],
        "exceptions": [{"customer": "ikoyi", "setting": "max_tokens_limit", "value": 500, "reason": "agreed"}]
    })")
        .value();
}

std::string error_of(const Json::Value& document) {
    const result<configuration> parsed = configuration::from_json(document);
    return parsed ? "" : parsed.error().message;
}

TEST(configuration_test, exception_overrides_the_default_and_reports_its_reason) {
    const effective_value value =
        configuration::from_json(valid_document()).value().effective_setting("ikoyi", "max_tokens_limit");
    EXPECT_EQ(value.value.asInt(), 500);
    EXPECT_EQ(value.source, "exception: agreed");
}

TEST(configuration_test, exception_without_a_reason_is_refused) {
    Json::Value document = valid_document();
    document["exceptions"][0].removeMember("reason");
    EXPECT_NE(error_of(document).find("field \"reason\" in \"exceptions[0]\""), std::string::npos);
}

TEST(configuration_test, unknown_field_is_refused_by_name) {
    Json::Value document = valid_document();
    document["defaults"]["max_token_limit"] = 1;
    EXPECT_NE(error_of(document).find("field \"max_token_limit\" in \"defaults\" is unknown"),
              std::string::npos);
}

TEST(configuration_test, backend_server_that_serves_an_unknown_model_is_refused) {
    Json::Value document = valid_document();
    document["backend_servers"][0]["serves"][0] = "other";
    EXPECT_NE(error_of(document).find("names \"other\""), std::string::npos);
}

TEST(configuration_test, every_error_is_listed) {
    Json::Value document = valid_document();
    document["defaults"]["max_tokens_limit"] = -1;
    document["exceptions"][0]["customer"] = "nobody";
    const std::string errors = error_of(document);
    EXPECT_NE(errors.find("max_tokens_limit"), std::string::npos);
    EXPECT_NE(errors.find("\"nobody\""), std::string::npos);
}

} // namespace
} // namespace eelgrassgw

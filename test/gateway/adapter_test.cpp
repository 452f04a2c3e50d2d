/// Tests that the adapter decodes the platform's headers and documents.

#include "platform/adapter.h"

#include <gtest/gtest.h>

namespace eelgrassgw::platform {
namespace {

text_request request_with_headers(std::initializer_list<std::pair<const char*, const char*>> headers) {
    text_request request(http::verb::post, "/a/", 11);
    request.set("Attempt-Id", "id");
    for (const auto& [name, value] : headers) {
        request.set(name, value);
    }
    return request;
}

TEST(caller_protocol, prompt_is_decoded) {
    const auto terms = caller_protocol().decode(
        request_with_headers({{"Token-Counts", "1460,80"}, {"Prompt-Prefix", "a:800,b:410,c:250"}}));
    ASSERT_TRUE(terms.ok());
    ASSERT_TRUE(terms.value().prompt.has_value());
    EXPECT_EQ(1540, terms.value().prompt->max_tokens());
    EXPECT_EQ((std::vector<std::string>{"a", "b"}), terms.value().prompt->shared_parts);
}

TEST(caller_protocol, prompt_with_a_single_part_has_no_shared_part) {
    const auto terms =
        caller_protocol().decode(request_with_headers({{"Token-Counts", "10,5"}, {"Prompt-Prefix", "a:10"}}));
    EXPECT_TRUE(terms.value().prompt->shared_parts.empty());
}

TEST(caller_protocol, error_for_bad_token_counts_names_header_and_value) {
    const auto terms = caller_protocol().decode(request_with_headers({{"Token-Counts", "many"}}));
    ASSERT_FALSE(terms.ok());
    EXPECT_NE(std::string::npos, terms.error().message.find("\"Token-Counts\" is \"many\""));
}

TEST(caller_protocol, negative_token_counts_are_refused) {
    EXPECT_FALSE(caller_protocol().decode(request_with_headers({{"Token-Counts", "-5,10"}})).ok());
}

server_notice notice_in(http::status status, const std::string& retry_after) {
    http::response_header<> head;
    head.result(status);
    head.set(http::field::retry_after, retry_after);
    return caller_protocol().read_server_notice(head);
}

TEST(server_notice, pause_is_given_in_seconds_with_an_optional_fraction) {
    using std::chrono::milliseconds;
    EXPECT_EQ(milliseconds(2000), notice_in(http::status::service_unavailable, "2").pause);
    EXPECT_EQ(milliseconds(250), notice_in(http::status::service_unavailable, "0.25").pause);
    EXPECT_EQ(milliseconds(1), notice_in(http::status::service_unavailable, "0.0001").pause);
    EXPECT_EQ(milliseconds(0), notice_in(http::status::service_unavailable, "0").pause);
}

TEST(server_notice, huge_pause_is_limited) {
    const std::string digits(400, '9');
    for (const std::string& text : {std::string("86400"), std::string("99999999999999999999"), digits}) {
        EXPECT_EQ(caller_protocol::max_pause, notice_in(http::status::service_unavailable, text).pause);
    }
}

TEST(server_notice, value_that_is_no_number_of_seconds_means_no_pause) {
    for (const char* text :
         {"", "-1", "-0.5", "soon", "2s", "2 s", "1e3", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
        EXPECT_FALSE(notice_in(http::status::service_unavailable, text).pause.has_value()) << text;
    }
}

TEST(server_notice, only_a_server_that_is_overloaded_asks_for_a_pause) {
    EXPECT_FALSE(notice_in(http::status::too_many_requests, "2").pause.has_value());
    EXPECT_FALSE(notice_in(http::status::ok, "2").pause.has_value());
}

TEST(server_notice, server_states_in_any_answer_that_it_is_leaving) {
    http::response_header<> head;
    EXPECT_FALSE(caller_protocol().read_server_notice(head).leaving);
    head.set("Server-Leaving", "1");
    EXPECT_TRUE(caller_protocol().read_server_notice(head).leaving);
    head.set("Server-Leaving", "0");
    EXPECT_FALSE(caller_protocol().read_server_notice(head).leaving);
}

server_notice notice_with_limit(const std::string& text) {
    http::response_header<> head;
    head.set("Server-Limit", text);
    return caller_protocol().read_server_notice(head);
}

TEST(server_notice, limit_is_a_decimal_number_of_requests_per_second) {
    EXPECT_EQ(2.8, notice_with_limit("2.8").limit);
    EXPECT_EQ(0.05, notice_with_limit("0.05").limit);
    EXPECT_EQ(40, notice_with_limit("40").limit);
    EXPECT_EQ(0, notice_with_limit("0").limit);
    EXPECT_EQ(caller_protocol::max_limit, notice_with_limit(std::string(400, '9')).limit);
    EXPECT_FALSE(notice_with_limit("2.8").has_unreadable_limit);
}

TEST(server_notice, answer_without_a_limit_says_that_there_is_none) {
    const server_notice notice = caller_protocol().read_server_notice(http::response_header<>());
    EXPECT_FALSE(notice.limit.has_value());
    EXPECT_FALSE(notice.has_unreadable_limit);
}

TEST(server_notice, limit_that_is_no_number_says_nothing) {
    for (const char* text : {"-1", "-0.5", "few", "2/s", "2 3", "1e3", "nan", "inf"}) {
        EXPECT_FALSE(notice_with_limit(text).limit.has_value()) << text;
        EXPECT_TRUE(notice_with_limit(text).has_unreadable_limit) << text;
    }
}

TEST(caller_protocol, hop_by_hop_headers_are_not_forwarded) {
    const auto request =
        request_with_headers({{"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"}, {"X-End", "2"}});
    const auto forwarded =
        caller_protocol().make_backend_request(request, request_terms{}, backend_request_metadata{});
    EXPECT_EQ("", std::string(forwarded["X-Hop"]));
    EXPECT_EQ("2", std::string(forwarded["X-End"]));
}

TEST(caller_protocol, repeated_headers_are_all_forwarded) {
    text_request request = request_with_headers({});
    request.insert("X-Many", "1");
    request.insert("X-Many", "2");
    const auto forwarded =
        caller_protocol().make_backend_request(request, request_terms{}, backend_request_metadata{});
    EXPECT_EQ(2U, forwarded.count("X-Many"));
}

Json::Value server_entry() {
    return parse_json(
               R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","sequence":1,
                          "born":1700000000123,"coldRemainingMs":1200})")
        .value();
}

TEST(decode_backend_server, entry_is_decoded) {
    const auto server = decode_backend_server("i-1", server_entry());
    ASSERT_TRUE(server.ok());
    EXPECT_EQ("i-1", server.value().id);
    EXPECT_EQ("z", server.value().data_centre);
    EXPECT_EQ(1700000000123, server.value().started_ms);
    EXPECT_FALSE(server.value().draining);
    EXPECT_EQ(std::chrono::milliseconds(1200), server.value().cold_time_left);
}

TEST(decode_backend_server, entry_with_a_missing_or_mistyped_field_is_rejected) {
    for (const char* field : {"service", "address", "zone", "slots", "state", "sequence"}) {
        Json::Value missing = server_entry();
        missing.removeMember(field);
        EXPECT_FALSE(decode_backend_server("i-1", missing).ok()) << field;
        Json::Value mistyped = server_entry();
        mistyped[field] = Json::Value(Json::arrayValue);
        EXPECT_FALSE(decode_backend_server("i-1", mistyped).ok()) << field;
    }
}

TEST(decode_backend_server, entry_with_an_unknown_state_is_rejected) {
    Json::Value entry = server_entry();
    entry["state"] = "resting";
    const auto server = decode_backend_server("i-1", entry);
    ASSERT_FALSE(server.ok());
    EXPECT_NE(std::string::npos, server.error().message.find("\"state\""));
}

TEST(decode_configuration, routes_services_and_customers_are_decoded) {
    const auto configuration = configuration_decoder().decode(R"({"version":7,
        "routes":[{"name":"r","hostname":"h.example","pathPrefix":"/p/","kind":"streaming","timeoutMs":12000,
                   "targetLatencyMs":400,"priority":0,"maxAttempts":2,"public":false,"sticky":true,"resumable":true,
                   "targetGapMs":600,"allowedRegions":["north"],
                   "trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}]}],
        "services":[{"name":"a","maxConnections":370,"warmupS":2.5,"coldPerS":16.0,
                     "engine":{"stride":6,"kvCapacityTokens":610587}},{"name":"b","maxConnections":110}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"t","apiKeys":["k"],"priority":1,"prepaid":4166154,
                    "allowedRegions":["north","south"]}]})",
                                                              std::nullopt);
    ASSERT_TRUE(configuration.ok());
    const route* r = configuration.value()->find_route("h.example", "/p/x");
    ASSERT_NE(nullptr, r);
    EXPECT_EQ(request_kind::stream, r->kind);
    EXPECT_TRUE(r->resumable);
    EXPECT_TRUE(r->carries_prompt);
    EXPECT_EQ(2U, r->services.size());
    EXPECT_EQ(6, configuration.value()->find_service("a").max_tokens_per_event);
    EXPECT_EQ(std::chrono::milliseconds(600), r->max_event_gap);
    EXPECT_EQ(std::vector<std::string>{"north"}, r->allowed_regions);
    EXPECT_EQ(610587, configuration.value()->find_service("a").kv_capacity);
    EXPECT_EQ(std::chrono::milliseconds(2500), configuration.value()->find_service("a").warm_up_time);
    EXPECT_DOUBLE_EQ(16, configuration.value()->find_service("a").max_cold_rate);
    EXPECT_EQ(2U, configuration.value()->find_customer_by_key("k")->allowed_regions.size());
    EXPECT_FALSE(configuration.value()->find_service("b").runs_models);
    EXPECT_EQ(std::chrono::milliseconds(0), configuration.value()->find_service("b").warm_up_time);
    EXPECT_EQ(4166154, configuration.value()->find_customer_by_key("k")->prepaid);
}

TEST(decode_configuration, error_for_an_unknown_kind_names_the_field) {
    const auto configuration = configuration_decoder().decode(
        R"({"version":1,"routes":[{"name":"r","service":"s","kind":"sometimes"}]})", std::nullopt);
    ASSERT_FALSE(configuration.ok());
    EXPECT_NE(std::string::npos, configuration.error().message.find("\"kind\" is \"sometimes\""));
}

/// Returns a configuration whose routes begin with these prefixes.
std::string document_with_routes(int version, const std::vector<std::string>& prefixes) {
    Json::Value document;
    document["version"] = version;
    for (const std::string& prefix : prefixes) {
        Json::Value route;
        route["hostname"] = "H.example:80";
        route["pathPrefix"] = prefix;
        route["service"] = "s";
        route["kind"] = "idempotent";
        document["routes"].append(route);
    }
    return to_text(document);
}

TEST(decode_configuration, unchanged_routes_are_not_decoded_again) {
    configuration_decoder decoder;
    const auto first = decoder.decode(document_with_routes(1, {"/a/", "/b/"}), std::nullopt);
    const auto second = decoder.decode(document_with_routes(2, {"/new/", "/b/", "/b/"}), 1);
    ASSERT_TRUE(first.ok());
    ASSERT_TRUE(second.ok());
    EXPECT_EQ(first.value()->find_route("h.example", "/b/"), second.value()->find_route("h.example", "/b/"));
    EXPECT_NE(nullptr, second.value()->find_route("h.example", "/new/"));
    EXPECT_EQ(nullptr, second.value()->find_route("h.example", "/a/"));
}

TEST(decode_configuration, version_that_is_not_newer_is_passed_over) {
    configuration_decoder decoder;
    const auto same = decoder.decode(document_with_routes(3, {"/a/"}), 3);
    ASSERT_TRUE(same.ok());
    EXPECT_EQ(nullptr, same.value());
}

/// Guards against what a rejected version leaves behind in the decoder.
TEST(decode_configuration, version_after_an_invalid_one_is_decoded_whole) {
    configuration_decoder decoder;
    ASSERT_TRUE(decoder.decode(document_with_routes(1, {"/a/", "/b/"}), std::nullopt).ok());
    std::string invalid = document_with_routes(2, {"/a/", "/c/"});
    invalid.replace(invalid.find("\"version\""), 0, "\"tenants\":[{],");
    EXPECT_FALSE(decoder.decode(invalid, 1).ok());
    const auto third = decoder.decode(document_with_routes(3, {"/a/", "/c/"}), 1);
    ASSERT_TRUE(third.ok());
    for (const char* path : {"/a/", "/c/"}) {
        EXPECT_NE(nullptr, third.value()->find_route("h.example", path)) << path;
    }
}

} // namespace
} // namespace eelgrassgw::platform

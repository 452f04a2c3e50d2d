/// Tests the rules about evacuated data centres, cold servers and allowed regions, without network.

#include "places/place_rules.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

class place_rules_test : public ::testing::Test {
protected:
    place_rules_test() {
        place_settings settings;
        settings.regions = {{"dc", "north"}, {"dc-2", "south"}};
        settings.evacuation_limit = 5s;
        rules.set_settings(settings, [](const char*, Json::Value) {});
        service.max_cold_rate = 16;
        service.warm_up_time = 10s;
    }

    static std::shared_ptr<tracked_backend> make_server(const std::string& id,
                                                        const std::string& data_centre) {
        auto server = std::make_shared<tracked_backend>();
        server->server.id = id;
        server->server.data_centre = data_centre;
        server->server.started_ms = 1;
        return server;
    }

    void list_evacuations(const std::vector<std::string>& data_centres, std::uint64_t revision) {
        object_listing all;
        all.position = {1, revision};
        for (const std::string& each : data_centres) {
            all.objects.push_back({each, {1, revision}, {}});
        }
        rules.note_evacuations(all, now);
    }

    void note_entry(const backend_server& server, std::uint64_t revision, std::chrono::milliseconds cold) {
        backend_server entry = server;
        entry.cold_time_left = cold;
        rules.note_server({entry, {1, revision}}, now);
    }

    bool is_cold(const backend_server& server) {
        return rules.time_until_allowed(server, {nullptr, nullptr, &service}, now) != 0ms;
    }

    place_rules rules;
    service_definition service;
    clock::time_point now = clock::time_point(1h);
};

TEST_F(place_rules_test, evacuation_between_the_choice_and_the_send_keeps_the_request_back) {
    const auto server = make_server("s1", "dc");
    rules.note_servers({{server->server, {1, 1}}}, now);
    const place_terms terms{nullptr, nullptr, &service};
    EXPECT_FALSE(rules.is_allowed(server->server, terms)); // The evacuations have not been listed.
    list_evacuations({}, 5);
    std::size_t kept_back = 0;
    EXPECT_EQ(1U, rules.available_servers({server}, terms, now, kept_back).size());
    cold_permit permit = rules.reserve(server->server, terms, now);
    list_evacuations({"dc"}, 6);
    EXPECT_FALSE(rules.begin_send(server->server, terms, permit, now));
}

// A list that was read through a slow path may arrive after a newer one.
TEST_F(place_rules_test, older_list_neither_ends_nor_renews_an_evacuation) {
    list_evacuations({"dc"}, 6);
    list_evacuations({}, 5);
    EXPECT_TRUE(rules.evacuations().contains("dc"));
    list_evacuations({}, 7);
    list_evacuations({"dc"}, 6);
    EXPECT_FALSE(rules.evacuations().contains("dc"));
}

TEST_F(place_rules_test, server_must_be_in_a_region_that_route_and_customer_allow) {
    list_evacuations({}, 1);
    const auto north = make_server("s1", "dc");
    const auto south = make_server("s2", "dc-2");
    const auto unknown = make_server("s3", "dc-3");
    const std::vector<std::string> only_north = {"north"};
    const std::vector<std::string> only_south = {"south"};
    const auto allowed = [&](const place_terms& terms) {
        std::string ids;
        for (const auto& each : rules.allowed_servers({north, south, unknown}, terms)) {
            ids += each->server.id;
        }
        return ids;
    };
    EXPECT_EQ("s1s2s3", allowed({nullptr, nullptr, &service}));
    EXPECT_EQ("s1", allowed({&only_north, nullptr, &service}));
    EXPECT_EQ("s2", allowed({nullptr, &only_south, &service}));
    EXPECT_EQ("", allowed({&only_north, &only_south, &service}));
}

TEST_F(place_rules_test, only_incarnations_that_appear_after_the_start_are_presumed_cold) {
    list_evacuations({}, 1);
    const auto server = make_server("s1", "dc");
    rules.note_servers({{server->server, {1, 1}}}, now);
    EXPECT_FALSE(is_cold(server->server));
    backend_server restarted = server->server;
    restarted.started_ms = 2;
    note_entry(restarted, 2, 0ms);
    EXPECT_TRUE(is_cold(restarted));
    rules.note_servers({{restarted, {1, 2}}}, now); // The same entry in a further list says nothing new.
    EXPECT_TRUE(is_cold(restarted));
    note_entry(restarted, 3, 0ms);
    EXPECT_FALSE(is_cold(restarted));
}

TEST_F(place_rules_test, server_listed_as_cold_at_the_start_is_cold_for_the_stated_time) {
    list_evacuations({}, 1);
    backend_server server = make_server("s1", "dc")->server;
    server.cold_time_left = 3s;
    rules.note_servers({{server, {1, 1}}}, now);
    EXPECT_TRUE(is_cold(server));
    now += 3001ms;
    EXPECT_FALSE(is_cold(server));
}

TEST_F(place_rules_test, entry_written_before_the_end_of_an_evacuation_does_not_make_a_server_warm) {
    const auto server = make_server("s1", "dc");
    rules.note_servers({{server->server, {1, 1}}}, now);
    list_evacuations({"dc"}, 5);
    list_evacuations({}, 9);
    EXPECT_TRUE(is_cold(server->server));
    note_entry(server->server, 8, 0ms);
    EXPECT_TRUE(is_cold(server->server));
    note_entry(server->server, 10, 0ms);
    EXPECT_FALSE(is_cold(server->server));
    list_evacuations({"dc"}, 11);
    list_evacuations({}, 12);
    now += service.warm_up_time;
    EXPECT_FALSE(is_cold(server->server));
}

// An entry that was written before the server became cold arrives after the answer that says so.
TEST_F(place_rules_test, late_entry_does_not_contradict_an_answer) {
    list_evacuations({}, 1);
    const auto server = make_server("s1", "dc");
    rules.note_servers({{server->server, {1, 1}}}, now);
    rules.note_cold_time(server->server, 5s, now);
    now += 1s;
    note_entry(server->server, 2, 0ms);
    EXPECT_TRUE(is_cold(server->server));
    rules.note_cold_time(server->server, 0s, now);
    EXPECT_FALSE(is_cold(server->server));
}

} // namespace
} // namespace eelgrassgw

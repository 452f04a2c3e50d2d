/// Tests the lookup of routes and customers in a configuration, and the choice of a service.

#include "routes/fleet_configuration.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

route make_route(const std::string& name, const std::string& prefix) {
    route r;
    r.name = name;
    r.host = "a.example";
    r.path_prefix = prefix;
    r.services = {{"s", 1}};
    return r;
}

std::shared_ptr<const fleet_configuration> two_routes() {
    return fleet_configuration::builder(7)
        .add(make_route("short", "/x/"))
        .add(make_route("long", "/x/y/"))
        .build();
}

std::string name_of_route(const route* r) {
    return r == nullptr ? "none" : r->name;
}

TEST(fleet_configuration, longest_prefix_wins) {
    EXPECT_EQ("long", name_of_route(two_routes()->find_route("a.example", "/x/y/z")));
}

TEST(fleet_configuration, shorter_prefix_matches_other_paths) {
    EXPECT_EQ("short", name_of_route(two_routes()->find_route("a.example", "/x/other")));
}

TEST(fleet_configuration, prefix_ends_at_a_slash) {
    EXPECT_EQ("none", name_of_route(two_routes()->find_route("a.example", "/xy")));
}

TEST(fleet_configuration, host_is_compared_without_port_and_case) {
    EXPECT_EQ("short", name_of_route(two_routes()->find_route("A.Example:8080", "/x/")));
}

TEST(fleet_configuration, other_host_has_no_route) {
    EXPECT_EQ("none", name_of_route(two_routes()->find_route("b.example", "/x/")));
}

// Guards against a bound of waiting prompts that is too wide for one of the routes that share a service.
TEST(fleet_configuration, shortest_pause_of_a_services_routes_counts) {
    route slow = make_route("slow", "/slow/");
    slow.max_event_gap = std::chrono::milliseconds(900);
    route fast = make_route("fast", "/fast/");
    fast.max_event_gap = std::chrono::milliseconds(300);
    const auto configuration =
        fleet_configuration::builder(1).add(fast).add(slow).add(make_route("none", "/none/")).build();
    EXPECT_EQ(std::chrono::milliseconds(300), configuration->shortest_event_gap("s"));
    EXPECT_EQ(std::chrono::milliseconds(0), configuration->shortest_event_gap("other"));
}

TEST(fleet_configuration, key_identifies_its_customer) {
    const auto configuration =
        fleet_configuration::builder(1).add(customer{"c", {"k1", "k2"}, {}, 5}).build();
    ASSERT_NE(nullptr, configuration->find_customer_by_key("k2"));
    EXPECT_EQ("c", configuration->find_customer_by_key("k2")->name);
}

TEST(fleet_configuration, unknown_key_identifies_no_customer) {
    const auto configuration = fleet_configuration::builder(1).add(customer{"c", {"k1"}, {}, 5}).build();
    EXPECT_EQ(nullptr, configuration->find_customer_by_key("k2"));
}

TEST(choose_service, weights_divide_the_requests) {
    route r = make_route("split", "/");
    r.services = {{"a", 90}, {"b", 10}};
    int to_b = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        to_b += choose_service(r, i) == "b" ? 1 : 0;
    }
    EXPECT_EQ(10, to_b);
}

TEST(may_run_again, only_idempotent_requests_and_resumable_streams_may) {
    route r = make_route("r", "/");
    r.kind = request_kind::non_idempotent;
    EXPECT_FALSE(may_run_again(r));
    r.kind = request_kind::stream;
    EXPECT_FALSE(may_run_again(r));
    r.resumable = true;
    EXPECT_TRUE(may_run_again(r));
    r.kind = request_kind::idempotent;
    EXPECT_TRUE(may_run_again(r));
}

} // namespace
} // namespace eelgrassgw

/// Tests the choice of backend servers under the kinds of load that each rule is meant for.

#include "placing/placement.h"

#include <gtest/gtest.h>

#include <map>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using servers = std::vector<std::shared_ptr<tracked_backend>>;

servers make_servers(int n) {
    servers made;
    for (int i = 0; i < n; ++i) {
        auto each = std::make_shared<tracked_backend>();
        each->server.id = "server-" + std::to_string(i);
        made.push_back(each);
    }
    return made;
}

placement_request with_part(const std::string& part) {
    placement_request request;
    request.shared_prompt_part = part;
    return request;
}

const auto now = tracked_backend::clock::now();

std::shared_ptr<tracked_backend> choose(const servers& candidates, const placement_request& request,
                                        tracked_backend::clock::time_point at) {
    return choose_backend_server(candidates, request, at).server;
}

TEST(placement, same_prompt_part_goes_to_the_same_server) {
    const servers all = make_servers(9);
    const auto first = choose(all, with_part("p"), now);
    EXPECT_EQ(first, choose(all, with_part("p"), now));
}

TEST(placement, order_of_the_list_does_not_matter) {
    servers all = make_servers(9);
    const auto first = choose(all, with_part("p"), now);
    std::reverse(all.begin(), all.end());
    EXPECT_EQ(first, choose(all, with_part("p"), now));
}

TEST(placement, removing_a_server_moves_only_its_prompt_parts) {
    const servers all = make_servers(9);
    servers fewer = all;
    const auto removed = fewer.back();
    fewer.pop_back();
    int moved_parts = 0;
    for (int i = 0; i < 200; ++i) {
        const auto part = "part-" + std::to_string(i);
        const auto before = choose(all, with_part(part), now);
        const auto after = choose(fewer, with_part(part), now);
        moved_parts += before != removed && before != after ? 1 : 0;
    }
    EXPECT_EQ(0, moved_parts);
}

TEST(placement, requests_for_one_hot_part_spread_before_its_server_is_overloaded) {
    const servers all = make_servers(4);
    for (int i = 0; i < 100; ++i) {
        ++choose(all, with_part("hot"), now)->running_requests;
    }
    int max_running = 0;
    for (const auto& each : all) {
        max_running = std::max(max_running, each->running_requests);
    }
    // The bound is 1.5 times the mean of 25, plus a margin for the first requests.
    EXPECT_LE(max_running, 40);
}

TEST(placement, server_with_a_long_unread_prompt_is_skipped) {
    const servers all = make_servers(4);
    const auto first = choose(all, with_part("p"), now);
    first->announced_prompts["other#1"] = {50000, now + 1s};
    EXPECT_NE(first, choose(all, with_part("p"), now));
}

TEST(placement, request_with_many_shared_tokens_waits_for_its_server) {
    const servers all = make_servers(4);
    placement_request request = with_part("p");
    const auto first = choose(all, request, now);
    first->unread_tokens = 20000;
    request.shared_tokens = 5000;
    EXPECT_EQ(first, choose(all, request, now));
}

TEST(placement, server_with_the_fewest_unread_tokens_is_chosen_if_all_exceed_the_bound) {
    const servers all = make_servers(3);
    all[0]->unread_tokens = 60000;
    all[1]->unread_tokens = 40000;
    all[2]->unread_tokens = 50000;
    EXPECT_EQ(all[1], choose(all, with_part("p"), now));
}

TEST(placement, request_without_a_shared_part_goes_to_the_least_loaded_server) {
    const servers all = make_servers(3);
    all[0]->running_requests = 2;
    all[1]->running_requests = 1;
    all[2]->running_requests = 2;
    EXPECT_EQ(all[1], choose(all, placement_request{}, now));
}

TEST(placement, tried_server_is_not_chosen_again) {
    const servers all = make_servers(2);
    placement_request request = with_part("p");
    request.excluded = {choose(all, request, now)->server.id};
    EXPECT_NE(request.excluded.front(), choose(all, request, now)->server.id);
}

TEST(placement, no_server_is_chosen_after_all_were_tried) {
    const servers all = make_servers(1);
    placement_request request;
    request.excluded = {"server-0"};
    EXPECT_EQ(nullptr, choose(all, request, now));
}

TEST(placement, avoided_server_is_skipped) {
    const servers all = make_servers(2);
    const auto first = choose(all, with_part("p"), now);
    first->avoid_until = now + 1s;
    EXPECT_NE(first, choose(all, with_part("p"), now));
}

TEST(placement, avoided_server_is_chosen_if_there_is_no_other) {
    const servers all = make_servers(1);
    all[0]->avoid_until = now + 1s;
    EXPECT_EQ(all[0], choose(all, with_part("p"), now));
}

/// Guards against prompts in a row that make each stream of their server pause for too long.
TEST(placement, no_room_is_reported_when_each_server_is_beyond_its_bound) {
    const servers all = make_servers(2);
    placement_request request;
    request.unread_tokens = 2000;
    request.max_unread_tokens = max_unread_tokens_within(100ms);
    all[0]->unread_tokens = 1001;
    EXPECT_EQ(all[1], choose(all, request, now));
    all[1]->unread_tokens = 1001;
    EXPECT_EQ(nullptr, choose(all, request, now));
    EXPECT_TRUE(choose_backend_server(all, request, now).no_room);
    request.max_unread_tokens = 0; // A route that states no pause.
    EXPECT_NE(nullptr, choose(all, request, now));
    EXPECT_FALSE(choose_backend_server({}, request, now).no_room);
}

TEST(placement, prompt_beyond_the_bound_goes_to_a_server_with_nothing_to_read) {
    const servers all = make_servers(2);
    placement_request request;
    request.unread_tokens = 12000;
    request.max_unread_tokens = max_unread_tokens_within(100ms);
    all[0]->unread_tokens = 1;
    EXPECT_EQ(all[1], choose(all, request, now));
}

} // namespace
} // namespace eelgrassgw

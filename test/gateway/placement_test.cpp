/// Placing of requests on backend servers, by the load that each rule answers.

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

TEST(placement, same_prompt_part_goes_to_the_same_server) {
    const servers all = make_servers(9);
    const auto first = choose_backend_server(all, with_part("p"), now);
    EXPECT_EQ(first, choose_backend_server(all, with_part("p"), now));
}

TEST(placement, order_of_the_list_does_not_matter) {
    servers all = make_servers(9);
    const auto first = choose_backend_server(all, with_part("p"), now);
    std::reverse(all.begin(), all.end());
    EXPECT_EQ(first, choose_backend_server(all, with_part("p"), now));
}

TEST(placement, losing_a_server_moves_only_its_parts) {
    const servers all = make_servers(9);
    servers fewer = all;
    const auto lost = fewer.back();
    fewer.pop_back();
    int moved = 0;
    for (int i = 0; i < 200; ++i) {
        const auto part = "part-" + std::to_string(i);
        const auto before = choose_backend_server(all, with_part(part), now);
        const auto after = choose_backend_server(fewer, with_part(part), now);
        moved += before != lost && before != after ? 1 : 0;
    }
    EXPECT_EQ(0, moved);
}

TEST(placement, one_hot_part_spreads_before_its_server_drowns) {
    const servers all = make_servers(4);
    for (int i = 0; i < 100; ++i) {
        ++choose_backend_server(all, with_part("hot"), now)->running;
    }
    int most = 0;
    for (const auto& each : all) {
        most = std::max(most, each->running);
    }
    EXPECT_LE(most, 40); // One and a half times the mean, and what comes before the first bound.
}

TEST(placement, server_with_a_long_prompt_to_read_is_passed_over) {
    const servers all = make_servers(4);
    const auto first = choose_backend_server(all, with_part("p"), now);
    first->foreign_prompts["other#1"] = {50000, now + 1s};
    EXPECT_NE(first, choose_backend_server(all, with_part("p"), now));
}

TEST(placement, request_with_costly_shared_parts_waits_for_its_server) {
    const servers all = make_servers(4);
    placement_request request = with_part("p");
    const auto first = choose_backend_server(all, request, now);
    first->unread_tokens = 20000;
    request.shared_tokens = 5000;
    EXPECT_EQ(first, choose_backend_server(all, request, now));
}

TEST(placement, least_is_waited_for_where_all_have_long_prompts) {
    const servers all = make_servers(3);
    all[0]->unread_tokens = 60000;
    all[1]->unread_tokens = 40000;
    all[2]->unread_tokens = 50000;
    EXPECT_EQ(all[1], choose_backend_server(all, with_part("p"), now));
}

TEST(placement, request_without_a_part_goes_to_the_least_loaded) {
    const servers all = make_servers(3);
    all[0]->running = 2;
    all[1]->running = 1;
    all[2]->running = 2;
    EXPECT_EQ(all[1], choose_backend_server(all, placement_request{}, now));
}

TEST(placement, tried_server_is_not_chosen_again) {
    const servers all = make_servers(2);
    placement_request request = with_part("p");
    request.excluded = {choose_backend_server(all, request, now)->server.id};
    EXPECT_NE(request.excluded.front(), choose_backend_server(all, request, now)->server.id);
}

TEST(placement, nothing_is_left_when_all_were_tried) {
    const servers all = make_servers(1);
    placement_request request;
    request.excluded = {"server-0"};
    EXPECT_EQ(nullptr, choose_backend_server(all, request, now));
}

TEST(placement, avoided_server_is_passed_over) {
    const servers all = make_servers(2);
    const auto first = choose_backend_server(all, with_part("p"), now);
    first->avoid_until = now + 1s;
    EXPECT_NE(first, choose_backend_server(all, with_part("p"), now));
}

TEST(placement, avoided_server_serves_where_there_is_no_other) {
    const servers all = make_servers(1);
    all[0]->avoid_until = now + 1s;
    EXPECT_EQ(all[0], choose_backend_server(all, with_part("p"), now));
}

} // namespace
} // namespace eelgrassgw

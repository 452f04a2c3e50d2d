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

TEST(placement, same_prompt_part_goes_to_the_same_server) {
    const servers all = make_servers(9);
    const auto first = choose_backend_server(all, with_part("p"), now).server;
    EXPECT_EQ(first, choose_backend_server(all, with_part("p"), now).server);
}

TEST(placement, order_of_the_list_does_not_matter) {
    servers all = make_servers(9);
    const auto first = choose_backend_server(all, with_part("p"), now).server;
    std::reverse(all.begin(), all.end());
    EXPECT_EQ(first, choose_backend_server(all, with_part("p"), now).server);
}

TEST(placement, removing_a_server_moves_only_its_prompt_parts) {
    const servers all = make_servers(9);
    servers fewer = all;
    const auto removed = fewer.back();
    fewer.pop_back();
    int moved_parts = 0;
    for (int i = 0; i < 200; ++i) {
        const auto part = "part-" + std::to_string(i);
        const auto before = choose_backend_server(all, with_part(part), now).server;
        const auto after = choose_backend_server(fewer, with_part(part), now).server;
        moved_parts += before != removed && before != after ? 1 : 0;
    }
    EXPECT_EQ(0, moved_parts);
}

TEST(placement, requests_for_one_hot_part_spread_before_its_server_is_overloaded) {
    const servers all = make_servers(4);
    for (int i = 0; i < 100; ++i) {
        ++choose_backend_server(all, with_part("hot"), now).server->running_requests;
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
    const auto first = choose_backend_server(all, with_part("p"), now).server;
    first->announced_prompts["other#1"] = {50000, now + 1s};
    EXPECT_NE(first, choose_backend_server(all, with_part("p"), now).server);
}

TEST(placement, request_with_many_shared_tokens_waits_for_its_server) {
    const servers all = make_servers(4);
    placement_request request = with_part("p");
    const auto first = choose_backend_server(all, request, now).server;
    first->unread_tokens = 20000;
    request.shared_tokens = 5000;
    EXPECT_EQ(first, choose_backend_server(all, request, now).server);
}

TEST(placement, server_with_the_fewest_unread_tokens_is_chosen_if_all_exceed_the_bound) {
    const servers all = make_servers(3);
    all[0]->unread_tokens = 60000;
    all[1]->unread_tokens = 40000;
    all[2]->unread_tokens = 50000;
    EXPECT_EQ(all[1], choose_backend_server(all, with_part("p"), now).server);
}

TEST(placement, request_without_a_shared_part_goes_to_the_least_loaded_server) {
    const servers all = make_servers(3);
    all[0]->running_requests = 2;
    all[1]->running_requests = 1;
    all[2]->running_requests = 2;
    EXPECT_EQ(all[1], choose_backend_server(all, placement_request{}, now).server);
}

TEST(placement, tried_server_is_not_chosen_again) {
    const servers all = make_servers(2);
    placement_request request = with_part("p");
    request.excluded = {choose_backend_server(all, request, now).server->server.id};
    EXPECT_NE(request.excluded.front(), choose_backend_server(all, request, now).server->server.id);
}

TEST(placement, no_server_is_chosen_after_all_were_tried) {
    const servers all = make_servers(1);
    placement_request request;
    request.excluded = {"server-0"};
    EXPECT_EQ(nullptr, choose_backend_server(all, request, now).server);
}

TEST(placement, avoided_server_is_skipped) {
    const servers all = make_servers(2);
    const auto first = choose_backend_server(all, with_part("p"), now).server;
    first->avoid_until = now + 1s;
    EXPECT_NE(first, choose_backend_server(all, with_part("p"), now).server);
}

TEST(placement, avoided_server_is_chosen_if_there_is_no_other) {
    const servers all = make_servers(1);
    all[0]->avoid_until = now + 1s;
    EXPECT_EQ(all[0], choose_backend_server(all, with_part("p"), now).server);
}

placement_request with_prompt(std::int64_t unshared_tokens) {
    placement_request request;
    request.carries_prompt = true;
    request.unshared_tokens = unshared_tokens;
    return request;
}

/// Returns a request of a route that allows 300 ms between two events. With the default speed and gap, a
/// server may have some 20,000 prompt tokens waiting.
placement_request with_bound(std::int64_t unshared_tokens) {
    placement_request request = with_prompt(unshared_tokens);
    request.bound.max_event_gap = 300ms;
    return request;
}

// Guards against slow servers getting as many prompts as fast ones.
TEST(placement, request_goes_where_its_prompt_is_read_first) {
    const servers all = make_servers(2);
    all[0]->unread_tokens = 4000;
    all[1]->unread_tokens = 3000;
    all[1]->speed.note_first_event(30000, 1000ms, now);
    EXPECT_EQ(all[0], choose_backend_server(all, with_prompt(1000), now).server);
}

// Guards against requests that follow a shared part to a server that is slow for a moment.
TEST(placement, server_that_slows_down_is_left_by_its_shared_parts) {
    const servers all = make_servers(4);
    const auto first = choose_backend_server(all, with_part("p"), now).server;
    for (int i = 0; i < 100; ++i) {
        first->speed.note_event_gap(40ms, now);
    }
    EXPECT_EQ(first, choose_backend_server(all, with_part("p"), now).server);
    for (int i = 0; i < 10; ++i) {
        first->speed.note_event_gap(100ms, now + 2s);
    }
    EXPECT_NE(first, choose_backend_server(all, with_part("p"), now + 2s).server);
}

// Guards against shared parts being counted as unread where they were read.
TEST(placement, only_a_server_without_the_shared_part_reads_it) {
    const servers all = make_servers(3);
    placement_request request = with_part("p");
    request.shared_tokens = 2000;
    request.unshared_tokens = 100;
    const auto first = choose_backend_server(all, request, now);
    EXPECT_EQ(100, first.tokens_to_read);
    first.server->unread_tokens = 50000;
    const auto second = choose_backend_server(all, request, now);
    EXPECT_EQ(2100, second.tokens_to_read);
    second.server->read_parts.note("p", now);
    EXPECT_EQ(100, choose_backend_server(all, request, now).tokens_to_read);
    EXPECT_EQ(2100, choose_backend_server(all, request, now + read_parts::retention).tokens_to_read);
}

// Guards against plain services whose slow servers get as much as the others.
TEST(placement, plain_requests_follow_the_speed_of_the_servers) {
    const servers all = make_servers(2);
    for (int i = 0; i < 50; ++i) {
        all[0]->speed.note_answer(10ms, now);
        all[1]->speed.note_answer(30ms, now);
    }
    for (int i = 0; i < 80; ++i) {
        placement_request request;
        request.random = std::uint64_t(i);
        ++choose_backend_server(all, request, now).server->running_requests;
    }
    EXPECT_GE(all[0]->running_requests, 55);
    EXPECT_GE(all[1]->running_requests, 15);
}

// Guards against a sum of prompts whose reading delays the events of all streams of a server.
TEST(placement, there_is_no_room_if_each_server_is_beyond_its_bound) {
    const servers all = make_servers(2);
    all[0]->unread_tokens = 18000;
    all[1]->announced_prompts["other#1"] = {18000, now + 1s};
    const auto refused = choose_backend_server(all, with_bound(5000), now);
    EXPECT_EQ(nullptr, refused.server);
    EXPECT_TRUE(refused.no_room);
    EXPECT_NE(nullptr, choose_backend_server(all, with_bound(1000), now).server);
    EXPECT_NE(nullptr, choose_backend_server(all, with_prompt(5000), now).server);
    all[1]->announced_prompts.clear();
    EXPECT_EQ(all[1], choose_backend_server(all, with_bound(5000), now).server);
}

// Guards against a bound that ignores that the servers read more slowly than by default.
TEST(placement, bound_follows_the_measured_speed) {
    const servers all = make_servers(1);
    all[0]->unread_tokens = 8000;
    EXPECT_FALSE(choose_backend_server(all, with_bound(5000), now).no_room);
    all[0]->speed.note_first_event(30000, 900ms, now);
    EXPECT_TRUE(choose_backend_server(all, with_bound(5000), now).no_room);
}

// Guards against a prompt that is never served because it exceeds every bound by itself.
TEST(placement, prompt_beyond_all_bounds_goes_to_a_server_that_reads_nothing) {
    const servers all = make_servers(2);
    all[0]->unread_tokens = 10;
    EXPECT_EQ(all[1], choose_backend_server(all, with_bound(60000), now).server);
    all[1]->unread_tokens = 10;
    EXPECT_TRUE(choose_backend_server(all, with_bound(60000), now).no_room);
}

// Guards against more requests or tokens than a server's batch or memory holds.
TEST(placement, slots_and_memory_bound_what_a_server_gets) {
    const servers all = make_servers(1);
    placement_request request = with_bound(100);
    request.held_tokens = 3000;
    request.bound.kv_capacity = 10000;
    all[0]->held_tokens = 7000;
    EXPECT_FALSE(choose_backend_server(all, request, now).no_room);
    all[0]->held_tokens = 7001;
    EXPECT_TRUE(choose_backend_server(all, request, now).no_room);
    all[0]->held_tokens = 0;
    all[0]->server.slots = 2;
    all[0]->running_requests = 2;
    EXPECT_TRUE(choose_backend_server(all, request, now).no_room);
}

// Guards against long prompts that take up a part of every server while room is short.
TEST(placement, long_prompts_are_kept_together_while_room_is_short) {
    const servers all = make_servers(6);
    for (const auto& each : all) {
        each->unread_tokens = 6000;
    }
    const auto first = choose_backend_server(all, with_bound(6000), now);
    EXPECT_EQ(placement_reason::long_prompt, first.reason);
    first.server->unread_tokens += 6000;
    EXPECT_EQ(first.server, choose_backend_server(all, with_bound(6000), now).server);
    EXPECT_NE(first.server, choose_backend_server(all, with_bound(1000), now).server);
    first.server->unread_tokens += 6000;
    EXPECT_NE(first.server, choose_backend_server(all, with_bound(6000), now).server);
}

} // namespace
} // namespace eelgrassgw

/// Tests for the order in which a router tries agents.

#include "eelgrassgw/router/agent_selector.h"

#include <gtest/gtest.h>

#include <set>

namespace eelgrassgw {
namespace {

std::vector<agent_member> make_agents(int count) {
    std::vector<agent_member> agents;
    for (int i = 0; i < count; ++i) {
        agent_member agent;
        agent.backend_server = "engine-" + std::to_string(i);
        agent.incarnation = agent.backend_server + "-x";
        agents.push_back(agent);
    }
    return agents;
}

const steady_time now{};

TEST(agent_selector_test, same_key_gets_the_same_order_whatever_the_load) {
    agent_selector idle;
    agent_selector busy;
    busy.begin_request("engine-1-x");
    busy.mark_unreachable("engine-2-x", now);
    const auto first = idle.order_agents(make_agents(5), {"request", 0}, true, now);
    const auto second = busy.order_agents(make_agents(5), {"request", 0}, true, now);
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].backend_server, second[i].backend_server);
    }
}

TEST(agent_selector_test, every_agent_is_in_the_order_once) {
    const auto ordered = agent_selector().order_agents(make_agents(5), {"request", 7}, false, now);
    std::set<std::string> names;
    for (const agent_member& agent : ordered) {
        names.insert(agent.backend_server);
    }
    EXPECT_EQ(names.size(), 5U);
}

TEST(agent_selector_test, unreachable_agent_comes_last) {
    agent_selector selector;
    selector.mark_unreachable("engine-3-x", now);
    EXPECT_EQ(selector.order_agents(make_agents(5), {"request", 7}, false, now).back().backend_server,
              "engine-3");
}

TEST(agent_selector_test, reachable_agent_is_tried_again) {
    agent_selector selector;
    selector.mark_unreachable("engine-0-x", now);
    selector.mark_reachable("engine-0-x");
    EXPECT_EQ(selector.order_agents(make_agents(1), {"request", 7}, false, now).front().backend_server,
              "engine-0");
}

TEST(agent_selector_test, overloaded_preferred_agent_is_not_always_first) {
    agent_selector selector;
    const std::string preferred =
        selector.order_agents(make_agents(5), {"request", 7}, false, now).front().incarnation;
    for (int i = 0; i < 50; ++i) {
        selector.begin_request(preferred);
    }
    std::set<std::string> chosen;
    for (int i = 0; i < 20; ++i) {
        chosen.insert(selector.order_agents(make_agents(5), {"request", 7}, false, now).front().incarnation);
    }
    EXPECT_GT(chosen.size(), 1U);
}

} // namespace
} // namespace eelgrassgw

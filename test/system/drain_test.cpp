/// Tests faults that occur while a process stops gracefully or while a new configuration reaches the routers.

#include "eelgrassgw/settings/process_settings.h"
#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds answer_timeout{30};
constexpr std::chrono::seconds idle_timeout{40};
constexpr std::chrono::milliseconds short_delay{150};
constexpr std::chrono::milliseconds longer_than_suspicion_timeout{3500};

void expect_no_violations(fleet& target, const caller& callers) {
    test::expect_no_violations(target, callers, idle_timeout);
}

void send_traffic(caller& callers) {
    run_concurrently(4, [&](int i) {
        const std::string number = std::to_string(i);
        (void)callers.chat_until_final("LENGTH=60 " + number, "chat-" + number, i % 2 == 0, answer_timeout);
        (void)callers.book_until_final("booking-" + number, answer_timeout);
    });
}

/// Names a process that stops gracefully and the fault that occurs meanwhile.
struct drain_case {
    std::string fault;
    std::string process;
    std::string failpoint; ///< Failpoint of a message that the stopping process sends, or empty.

    std::string name() const {
        const bool is_router = process.starts_with("router");
        return std::string("drain__") + fault + "__" + (is_router ? "router" : "agent");
    }
};

std::vector<drain_case> drain_cases() {
    std::vector<drain_case> cases;
    for (const char* process : {"router-1", "engine-1"}) {
        const bool is_router = std::string(process) == "router-1";
        const std::string failpoint = is_router ? "store_PUT_routers=" : "store_PUT_agents=";
        for (const char* fault : {"unreachable", "lose_request", "lose_answer", "late", "twice", "slow"}) {
            cases.push_back({fault, process, failpoint + fault + ":2"});
        }
        for (const char* fault :
             {"killed", "frozen", "cut", "partition", "data_centres_apart", "object_api_stopped"}) {
            cases.push_back({fault, process, ""});
        }
    }
    return cases;
}

class drain_fault_test : public testing::TestWithParam<drain_case> {
protected:
    void inject_fault(fleet& target) const {
        const drain_case& c = GetParam();
        if (c.fault == "killed") {
            target.send_signal(c.process, SIGKILL);
        } else if (c.fault == "frozen") {
            target.send_signal(c.process, SIGSTOP);
            std::this_thread::sleep_for(longer_than_suspicion_timeout);
            target.send_signal(c.process, SIGCONT);
        } else if (c.fault == "cut" || c.fault == "partition") {
            const std::string proxy = (c.fault == "cut" ? "" : "api-") + c.process;
            target.set_proxy_mode(proxy, "cut");
            std::this_thread::sleep_for(c.fault == "cut" ? short_delay : longer_than_suspicion_timeout);
            target.set_proxy_mode(proxy, "pass");
        } else if (c.fault == "data_centres_apart") {
            target.partition_data_centres("lag-b");
            std::this_thread::sleep_for(longer_than_suspicion_timeout);
            target.reconnect_data_centres();
        } else if (c.fault == "object_api_stopped") {
            target.send_signal("object-api", SIGSTOP);
            std::this_thread::sleep_for(longer_than_suspicion_timeout);
            target.send_signal("object-api", SIGCONT);
        }
    }
};

TEST_P(drain_fault_test, promises_hold) {
    const drain_case& c = GetParam();
    std::vector<std::string> arguments = {"--routers=2", "--engines=2", "--services=1", "--proxies"};
    if (!c.failpoint.empty()) {
        arguments.push_back("--failpoint=" + c.process + "/" + c.failpoint);
    }
    fleet target(arguments);
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    std::thread traffic([&] { send_traffic(callers); });
    std::this_thread::sleep_for(short_delay);
    target.send_signal(c.process, SIGTERM);
    inject_fault(target);
    EXPECT_TRUE(wait_until([&] { return !target.is_running(c.process); }, idle_timeout));
    target.restart(c.process);
    traffic.join();
    expect_no_violations(target, callers);
    if (!HasFailure()) {
        EXPECT_EQ(target.stop(), 0) << "local-fleet down did not stop the fleet gracefully";
    }
}

INSTANTIATE_TEST_SUITE_P(drain, drain_fault_test, testing::ValuesIn(drain_cases()),
                         [](const auto& info) { return info.param.name(); });

/// Names a path by which router 1 receives a configuration and the fault that occurs on this path.
struct configuration_case {
    std::string step;
    std::string fault;
    std::string failpoint;

    std::string name() const { return step + "__" + fault + "__message"; }
};

std::vector<configuration_case> configuration_cases() {
    std::vector<configuration_case> cases;
    for (const char* fault : {"unreachable", "lose_request", "lose_answer", "late", "slow", "twice"}) {
        cases.push_back(
            {"configuration_watch", fault, std::string("store_WATCH_configuration=") + fault + ":2"});
        cases.push_back({"configuration_exchange", fault, std::string("rpc_configuration=") + fault + ":1"});
    }
    return cases;
}

class configuration_fault_test : public testing::TestWithParam<configuration_case> {};

TEST_P(configuration_fault_test, promises_hold) {
    const configuration_case& c = GetParam();
    fleet target(
        {"--routers=2", "--engines=1", "--services=1", "--proxies", "--failpoint=router-1/" + c.failpoint});
    ASSERT_TRUE(target.is_up());
    caller callers(target);
    if (c.step == "configuration_exchange") {
        target.set_proxy_mode("api-router-1", "cut");
    }
    const std::string file = target.path("configuration.json");
    EXPECT_EQ(target.run_eelgrassctl({"apply", "--file=" + file, "--base=1", "--by=ada", "--reason=test"})
                  .exit_code,
              0);
    EXPECT_TRUE(
        wait_until([&] { return target.metric("router-1", "configuration_revision") == 2; }, answer_timeout));
    target.set_proxy_mode("api-router-1", "pass");
    EXPECT_TRUE(callers.chat_until_final("after the change", "key", false, answer_timeout).is_complete);
    expect_no_violations(target, callers);
}

INSTANTIATE_TEST_SUITE_P(configuration, configuration_fault_test, testing::ValuesIn(configuration_cases()),
                         [](const auto& info) { return info.param.name(); });

TEST(configuration_exchange_test, frozen_peer_does_not_keep_the_newest_configuration_away) {
    fleet target({"--routers=2", "--engines=1", "--services=1", "--proxies"});
    ASSERT_TRUE(target.is_up());
    const caller callers(target);
    target.set_proxy_mode("api-router-1", "cut");
    target.send_signal("router-2", SIGSTOP);
    const std::string file = target.path("configuration.json");
    EXPECT_EQ(target.run_eelgrassctl({"apply", "--file=" + file, "--base=1", "--by=ada", "--reason=test"})
                  .exit_code,
              0);
    std::this_thread::sleep_for(longer_than_suspicion_timeout);
    target.set_proxy_mode("api-router-1", "pass");
    EXPECT_TRUE(
        wait_until([&] { return target.metric("router-1", "configuration_revision") == 2; }, answer_timeout));
    target.send_signal("router-2", SIGCONT);
    EXPECT_TRUE(
        wait_until([&] { return target.metric("router-2", "configuration_revision") == 2; }, answer_timeout));
    expect_no_violations(target, callers);
}

TEST(configuration_watch_test, router_killed_and_restarted_comes_back_with_the_newest_configuration) {
    fleet target({"--routers=2", "--engines=1", "--services=1"});
    ASSERT_TRUE(target.is_up());
    const caller callers(target);
    target.send_signal("router-1", SIGKILL);
    const std::string file = target.path("configuration.json");
    EXPECT_EQ(target.run_eelgrassctl({"apply", "--file=" + file, "--base=1", "--by=ada", "--reason=test"})
                  .exit_code,
              0);
    EXPECT_TRUE(wait_until([&] { return !target.is_running("router-1"); }, answer_timeout));
    target.restart("router-1");
    EXPECT_TRUE(
        wait_until([&] { return target.metric("router-1", "configuration_revision") == 2; }, answer_timeout));
    expect_no_violations(target, callers);
}

} // namespace
} // namespace eelgrassgw::test

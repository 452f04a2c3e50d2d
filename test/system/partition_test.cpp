/// Tests network partitions, which fault proxies simulate, and outages of the object API.

#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds answer_timeout{30};
constexpr std::chrono::seconds idle_timeout{40};
constexpr std::chrono::seconds configuration_timeout{7};
constexpr std::chrono::milliseconds short_fault{700};
constexpr std::chrono::milliseconds longer_than_suspicion_timeout{3500};

class partition_test : public testing::Test {
protected:
    void start(std::vector<std::string> extra_arguments = {}) {
        std::vector<std::string> arguments = {"--routers=2", "--engines=2", "--services=2", "--proxies"};
        arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
        target = std::make_unique<fleet>(arguments);
        ASSERT_TRUE(target->is_up());
        callers = std::make_unique<caller>(*target);
    }

    /// Sends chats and bookings with keys while `fault` runs. Each request is repeated until it gets a final
    /// answer.
    void send_traffic_during(const std::function<void()>& fault) {
        std::thread traffic([this] {
            run_concurrently(5, [this](int i) {
                for (int j = 0; j < 4; ++j) {
                    const std::string number = std::to_string(i) + "-" + std::to_string(j);
                    (void)callers->chat_until_final("part " + number + " LENGTH=40", "c-" + number,
                                                    j % 2 == 0, answer_timeout);
                    (void)callers->book_until_final("b-" + number, answer_timeout);
                }
            });
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        fault();
        traffic.join();
    }

    /// Sets a fault proxy to `mode` for `duration`.
    void inject_proxy_fault(const std::string& proxy, const std::string& mode,
                            std::chrono::milliseconds duration) {
        target->set_proxy_mode(proxy, mode);
        std::this_thread::sleep_for(duration);
        target->set_proxy_mode(proxy, "pass");
    }

    void expect_no_violations() {
        test::expect_no_violations(*target, *callers, idle_timeout);
        if (!HasFailure()) {
            EXPECT_EQ(target->stop(), 0) << "local-fleet down did not stop the fleet gracefully";
        }
    }

    std::unique_ptr<fleet> target;
    std::unique_ptr<caller> callers;
};

TEST_F(partition_test, router_cut_from_the_object_api_for_a_moment) {
    start();
    send_traffic_during([&] { inject_proxy_fault("api-router-1", "cut", short_fault); });
    expect_no_violations();
}

TEST_F(partition_test, router_cut_from_the_object_api_until_it_is_recovered) {
    start();
    send_traffic_during([&] { inject_proxy_fault("api-router-1", "cut", longer_than_suspicion_timeout); });
    expect_no_violations();
}

TEST_F(partition_test, answers_of_the_object_api_lost_until_the_router_is_recovered) {
    start();
    send_traffic_during(
        [&] { inject_proxy_fault("api-router-1", "lose_answers", longer_than_suspicion_timeout); });
    expect_no_violations();
}

TEST_F(partition_test, requests_to_the_object_api_lost_for_a_moment) {
    start();
    send_traffic_during([&] { inject_proxy_fault("api-router-1", "lose_requests", short_fault); });
    expect_no_violations();
}

TEST_F(partition_test, object_api_stopped_for_everybody) {
    start();
    send_traffic_during([&] {
        target->send_signal("object-api", SIGSTOP);
        std::this_thread::sleep_for(longer_than_suspicion_timeout);
        target->send_signal("object-api", SIGCONT);
    });
    expect_no_violations();
}

TEST_F(partition_test, agent_cut_off_mid_stream) {
    start();
    send_traffic_during([&] { inject_proxy_fault("engine-1", "cut", short_fault); });
    expect_no_violations();
}

TEST_F(partition_test, agent_frozen_behind_its_proxy_for_longer_than_callers_wait) {
    start();
    send_traffic_during([&] { inject_proxy_fault("engine-1", "freeze", longer_than_suspicion_timeout); });
    expect_no_violations();
}

TEST_F(partition_test, answers_of_an_agent_lost) {
    start();
    send_traffic_during([&] { inject_proxy_fault("engine-1", "lose_answers", short_fault); });
    expect_no_violations();
}

TEST_F(partition_test, requests_to_an_agent_lost) {
    start();
    send_traffic_during([&] { inject_proxy_fault("engine-1", "lose_requests", short_fault); });
    expect_no_violations();
}

TEST_F(partition_test, answers_of_a_booking_service_lost) {
    start();
    send_traffic_during([&] { inject_proxy_fault("backend-service-1", "cut_answers", short_fault); });
    expect_no_violations();
}

TEST_F(partition_test, engines_streams_cut_from_their_agent) {
    start();
    send_traffic_during([&] { inject_proxy_fault("backend-engine-1", "cut", short_fault); });
    expect_no_violations();
}

TEST_F(partition_test, nearly_empty_budget_is_spent_while_routers_cannot_reach_each_other) {
    start({"--budget=2000", "--smallest_grant=50"});
    send_traffic_during([&] { inject_proxy_fault("router-2", "cut", longer_than_suspicion_timeout); });
    expect_no_violations();
}

TEST_F(partition_test, top_up_during_a_partition_is_used_after_it) {
    start({"--budget=400", "--smallest_grant=50"});
    send_traffic_during([&] {
        target->set_proxy_mode("api-router-1", "cut");
        EXPECT_EQ(target
                      ->run_eelgrassctl({"top-up", "--customer=ikoyi", "--budget=ikoyi-main", "--id=second",
                                         "--amount=100000"})
                      .exit_code,
                  0);
        std::this_thread::sleep_for(short_fault);
        target->set_proxy_mode("api-router-1", "pass");
    });
    EXPECT_TRUE(callers->chat_until_final("after the partition", "after", false, answer_timeout).is_complete);
    expect_no_violations();
}

TEST_F(partition_test, budget_that_cannot_be_asked_is_told_from_an_empty_one) {
    start({"--budget=2000", "--smallest_grant=10"});
    EXPECT_TRUE(callers->chat("router-1", "first", "", false).is_complete);
    target->set_proxy_mode("api-router-1", "cut");
    std::string code;
    (void)wait_until(
        [&] { return (code = callers->chat("router-1", "more", "", false).code).starts_with("budget_"); },
        answer_timeout);
    EXPECT_EQ(code, "budget_unreachable");
    target->set_proxy_mode("api-router-1", "pass");
    expect_no_violations();
}

/// Tests two data centres that cannot reach each other. The parameter names the data centre that still
/// reaches the object API; if it is empty, neither does.
class data_centre_partition_test : public partition_test, public testing::WithParamInterface<std::string> {
protected:
    /// Expects that both routers answer a chat while the data centres cannot reach each other.
    void expect_both_sides_serve() {
        for (const char* router : {"router-1", "router-2"}) {
            const bool served = wait_until(
                [&] {
                    return callers->chat(router, std::string("apart at ") + router, "", false).is_complete;
                },
                answer_timeout);
            EXPECT_TRUE(served) << router;
        }
    }
};

TEST_P(data_centre_partition_test, both_sides_serve_and_promises_hold) {
    start({"--smallest_grant=20000"});
    EXPECT_TRUE(callers->chat("router-1", "a first grant", "", false).is_complete);
    EXPECT_TRUE(callers->chat("router-2", "a first grant", "", false).is_complete);
    send_traffic_during([&] {
        target->partition_data_centres(GetParam());
        expect_both_sides_serve();
        EXPECT_EQ(target
                      ->run_eelgrassctl({"top-up", "--customer=ikoyi", "--budget=ikoyi-main", "--id=second",
                                         "--amount=1000"})
                      .exit_code,
                  0);
        std::this_thread::sleep_for(longer_than_suspicion_timeout);
        target->reconnect_data_centres();
    });
    expect_no_violations();
}

TEST_F(partition_test, configuration_accepted_while_data_centres_are_apart_is_in_force_everywhere_after_it) {
    start();
    target->partition_data_centres("lag-b");
    const std::string file = target->path("configuration.json");
    EXPECT_EQ(target->run_eelgrassctl({"apply", "--file=" + file, "--base=1", "--by=ada", "--reason=test"})
                  .exit_code,
              0);
    const auto revision_at = [&](const char* router) {
        return target->metric(router, "configuration_revision");
    };
    EXPECT_TRUE(wait_until([&] { return revision_at("router-2") == 2; }, configuration_timeout));
    EXPECT_EQ(revision_at("router-1"), 1);
    target->reconnect_data_centres();
    EXPECT_TRUE(wait_until([&] { return revision_at("router-1") == 2; }, configuration_timeout));
    EXPECT_TRUE(callers->chat_until_final("after it", "after", false, answer_timeout).is_complete);
    expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(data_centre_partition, data_centre_partition_test,
                         testing::Values("lag-a", "lag-b", ""), [](const auto& info) {
                             return info.param.empty() ? "object_api_with_nobody"
                                                       : "object_api_with_" + info.param.substr(4);
                         });

} // namespace
} // namespace eelgrassgw::test

/// Injects random faults into a small fleet while callers send mixed requests. Each test case has a fixed
/// seed, and a seed that fails is added as a test case.

#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <random>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds min_run_time{12};  // The run lasts at least this long.
constexpr std::chrono::seconds max_run_time{120}; // The run ends after this time even with too few requests.
constexpr std::chrono::seconds idle_timeout{60};
constexpr std::chrono::seconds completion_timeout{20};
constexpr int concurrent_callers = 24;
constexpr std::size_t min_requests = 1000;

struct random_case {
    unsigned seed = 0;
    bool loses_router_and_agent = false; ///< Whether a router and an agent may be killed together.
};

class random_run_test : public testing::TestWithParam<random_case> {
protected:
    void start() {
        target = std::make_unique<fleet>(
            std::vector<std::string>{"--routers=3", "--engines=3", "--services=2", "--proxies",
                                     "--token_ms=1", "--seed=" + std::to_string(GetParam().seed)});
        ASSERT_TRUE(target->is_up());
        callers = std::make_unique<caller>(*target);
    }

    void send_requests_until_over(int number) {
        std::mt19937 random(GetParam().seed * 1000 + static_cast<unsigned>(number));
        for (int i = 0; !is_over; ++i) {
            const std::string name = std::to_string(number) + "-" + std::to_string(i);
            const std::string router = "router-" + std::to_string(1 + random() % 3);
            switch (random() % 4) {
            case 0:
                (void)callers->chat_until_final("LENGTH=8 keyed " + name, "c" + name, random() % 2 == 0,
                                                completion_timeout);
                break;
            case 1:
                (void)callers->book_until_final("b" + name, completion_timeout);
                break;
            case 2:
                (void)callers->book(router, "once" + name);
                break;
            default:
                (void)callers->chat(router, "LENGTH=8 plain " + name, "", random() % 2 == 0);
            }
        }
    }

    void restart(const std::string& name) {
        target->send_signal(name, SIGKILL);
        ASSERT_TRUE(wait_until([&] { return !target->is_running(name); }, completion_timeout));
        target->restart(name);
    }

    void freeze(const std::string& name, std::mt19937& random) {
        target->send_signal(name, SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(200 + random() % 2500));
        target->send_signal(name, SIGCONT);
    }

    void inject_proxy_fault(const std::string& proxy, std::mt19937& random) {
        static const char* const modes[] = {"cut", "freeze", "lose_answers", "lose_requests", "cut_answers"};
        target->set_proxy_mode(proxy, modes[random() % 5]);
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 1500));
        target->set_proxy_mode(proxy, "pass");
    }

    void kill_router_and_agent(const std::string& router, const std::string& agent) {
        target->send_signal(router, SIGKILL);
        target->send_signal(agent, SIGKILL);
        for (const std::string& name : {router, agent}) {
            ASSERT_TRUE(wait_until([&] { return !target->is_running(name); }, completion_timeout));
            target->restart(name);
        }
    }

    void inject_random_fault(std::mt19937& random) {
        const std::string router = "router-" + std::to_string(1 + random() % 3);
        const std::string engine = "engine-" + std::to_string(1 + random() % 3);
        const std::string service = "service-" + std::to_string(1 + random() % 2);
        switch (random() % 7) {
        case 0:
            GetParam().loses_router_and_agent ? kill_router_and_agent(router, engine) : restart(router);
            break;
        case 1:
            freeze(router, random);
            break;
        case 2:
            freeze(engine, random);
            break;
        case 3:
            inject_proxy_fault("api-" + router, random);
            break;
        case 4:
            inject_proxy_fault(engine, random);
            break;
        case 5:
            inject_proxy_fault(service, random);
            break;
        default:
            freeze("object-api", random);
        }
    }

    std::unique_ptr<fleet> target;
    std::unique_ptr<caller> callers;
    std::atomic<bool> is_over{false};
};

TEST_P(random_run_test, promises_hold) {
    ASSERT_NO_FATAL_FAILURE(start());
    std::thread traffic(
        [this] { run_concurrently(concurrent_callers, [this](int i) { send_requests_until_over(i); }); });
    std::mt19937 random(GetParam().seed);
    const auto begin = std::chrono::steady_clock::now();
    const auto should_continue = [&] {
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        return elapsed < min_run_time ||
               (callers->observations().size() < min_requests && elapsed < max_run_time);
    };
    while (should_continue()) {
        inject_random_fault(random);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    is_over = true;
    traffic.join();
    EXPECT_EQ(wait_until_idle(*target, idle_timeout), "");
    EXPECT_GE(callers->observations().size(), min_requests);
    const bool may_lose_records = GetParam().loses_router_and_agent;
    for (const std::string& violation :
         checker(*target, callers->observations(), may_lose_records).violations()) {
        ADD_FAILURE() << "seed " << GetParam().seed << ": " << violation;
    }
    if (!HasFailure()) {
        EXPECT_EQ(target->stop(), 0) << "local-fleet down did not stop the fleet gracefully";
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, random_run_test,
                         testing::Values(random_case{1}, random_case{2}, random_case{3}, random_case{4},
                                         random_case{5, true}, random_case{6, true}),
                         [](const auto& info) { return "seed_" + std::to_string(info.param.seed); });

} // namespace
} // namespace eelgrassgw::test

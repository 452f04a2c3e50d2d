/// Random faults by seed, over a small fleet with mixed traffic. A failing seed is kept as a case.

#include "test/system/checker.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <random>
#include <thread>

namespace eelgrassgw::test {
namespace {

constexpr std::chrono::seconds run_time{12};     ///< At least.
constexpr std::chrono::seconds longest_run{120}; ///< Until there were enough requests.
constexpr std::chrono::seconds rest_limit{60};
constexpr std::chrono::seconds end_limit{20};
constexpr int callers_at_once = 24;
constexpr std::size_t least_requests = 1000;

struct random_case {
    unsigned seed = 0;
    bool loses_both = false; ///< A router and an agent may be lost together.
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

    void send_until_over(int number) {
        std::mt19937 random(GetParam().seed * 1000 + static_cast<unsigned>(number));
        for (int i = 0; !over; ++i) {
            const std::string name = std::to_string(number) + "-" + std::to_string(i);
            const std::string router = "router-" + std::to_string(1 + random() % 3);
            switch (random() % 4) {
            case 0:
                (void)callers->chat_until_final("LENGTH=8 keyed " + name, "c" + name, random() % 2 == 0,
                                                end_limit);
                break;
            case 1:
                (void)callers->book_until_final("b" + name, end_limit);
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
        ASSERT_TRUE(wait_until([&] { return !target->is_running(name); }, end_limit));
        target->restart(name);
    }

    void freeze(const std::string& name, std::mt19937& random) {
        target->send_signal(name, SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(200 + random() % 2500));
        target->send_signal(name, SIGCONT);
    }

    void proxy_fault(const std::string& proxy, std::mt19937& random) {
        static const char* const modes[] = {"cut", "freeze", "lose_answers", "lose_requests", "cut_answers"};
        target->set_proxy(proxy, modes[random() % 5]);
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 1500));
        target->set_proxy(proxy, "pass");
    }

    void lose_both(const std::string& router, const std::string& agent) {
        target->send_signal(router, SIGKILL);
        target->send_signal(agent, SIGKILL);
        for (const std::string& name : {router, agent}) {
            ASSERT_TRUE(wait_until([&] { return !target->is_running(name); }, end_limit));
            target->restart(name);
        }
    }

    void one_fault(std::mt19937& random) {
        const std::string router = "router-" + std::to_string(1 + random() % 3);
        const std::string engine = "engine-" + std::to_string(1 + random() % 3);
        const std::string service = "service-" + std::to_string(1 + random() % 2);
        switch (random() % 7) {
        case 0:
            GetParam().loses_both ? lose_both(router, engine) : restart(router);
            break;
        case 1:
            freeze(router, random);
            break;
        case 2:
            freeze(engine, random);
            break;
        case 3:
            proxy_fault("api-" + router, random);
            break;
        case 4:
            proxy_fault(engine, random);
            break;
        case 5:
            proxy_fault(service, random);
            break;
        default:
            freeze("object-api", random);
        }
    }

    std::unique_ptr<fleet> target;
    std::unique_ptr<caller> callers;
    std::atomic<bool> over{false};
};

TEST_P(random_run_test, promises_hold) {
    ASSERT_NO_FATAL_FAILURE(start());
    std::thread traffic([this] { run_at_once(callers_at_once, [this](int i) { send_until_over(i); }); });
    std::mt19937 random(GetParam().seed);
    const auto begin = std::chrono::steady_clock::now();
    const auto goes_on = [&] {
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        return elapsed < run_time || (callers->seen().size() < least_requests && elapsed < longest_run);
    };
    while (goes_on()) {
        one_fault(random);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    over = true;
    traffic.join();
    EXPECT_EQ(wait_for_rest(*target, rest_limit), "");
    EXPECT_GE(callers->seen().size(), least_requests);
    const bool records_lost = GetParam().loses_both;
    for (const std::string& violation : checker(*target, callers->seen(), records_lost).violations()) {
        ADD_FAILURE() << "seed " << GetParam().seed << ": " << violation;
    }
    if (!HasFailure()) {
        EXPECT_EQ(target->down(), 0) << "a planned stop left something behind";
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, random_run_test,
                         testing::Values(random_case{1}, random_case{2}, random_case{3}, random_case{4},
                                         random_case{5, true}, random_case{6, true}),
                         [](const auto& info) { return "seed_" + std::to_string(info.param.seed); });

} // namespace
} // namespace eelgrassgw::test

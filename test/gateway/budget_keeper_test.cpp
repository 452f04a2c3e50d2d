/// Budgets that several routers draw on while writes are lost, late and repeated, and routers die.
///
/// The checker adds up what requests used and what routers still hold, and compares with what was paid.

#include "budgets/budget_keeper.h"
#include "faulty_ledger.h"
#include "task_runner.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using keeper = budget_keeper<faulty_way>;

constexpr tokens prepaid = 20000;

std::shared_ptr<const fleet_configuration> with_prepaid(tokens amount, std::uint64_t version = 1) {
    return fleet_configuration::builder(version).add(customer{"c", {"k"}, {}, amount}).build();
}

/// A router's keeper with its way to the ledger.
struct keeper_process {
    keeper_process(asio::io_context& context, std::shared_ptr<shared_ledger> ledger,
                   std::vector<std::shared_ptr<faulty_writer>> writers, const std::string& name)
        : way(std::move(ledger), std::move(writers)),
          budgets(context, way, ledger_identity{name, ""}, allowance_policy{},
                  [](const char*, Json::Value) {}) {
        budgets.set_configuration(with_prepaid(prepaid));
        asio::co_spawn(context, budgets.run(), asio::detached);
    }

    faulty_way way;
    keeper budgets;
};

std::shared_ptr<faulty_writer> make_writer(asio::io_context& context, std::shared_ptr<shared_ledger> ledger) {
    return std::make_shared<faulty_writer>(context, faulty_ledger(std::move(ledger)),
                                           [](const char*, Json::Value) {});
}

class budget_keeper_test : public ::testing::Test {
protected:
    keeper* start(const std::string& name) {
        processes.push_back(std::make_unique<keeper_process>(context, ledger, writers, name));
        return &processes.back()->budgets;
    }

    asio::io_context context;
    std::shared_ptr<shared_ledger> ledger = std::make_shared<shared_ledger>();
    std::vector<std::shared_ptr<faulty_writer>> writers{make_writer(context, ledger)};
    std::vector<std::unique_ptr<keeper_process>> processes;
};

TEST_F(budget_keeper_test, first_request_takes_from_the_ledger) {
    keeper* const router = start("a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await router->reserve("c", 500, 1000ms));
    });
    EXPECT_GE(ledger->stored.ledger.taken_by_all("c"), 500);
}

TEST_F(budget_keeper_test, request_beyond_the_budget_is_exhausted) {
    keeper* const router = start("a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::exhausted, co_await router->reserve("c", prepaid + 1, 1000ms));
    });
}

TEST_F(budget_keeper_test, request_without_ledger_is_unknown_not_exhausted) {
    ledger->down = true;
    keeper* const router = start("a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::unknown, co_await router->reserve("c", 500, 300ms));
    });
}

TEST_F(budget_keeper_test, top_up_is_spendable) {
    keeper* const router = start("a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await router->reserve("c", prepaid, 1000ms));
        router->set_configuration(with_prepaid(prepaid + 700, 2));
        EXPECT_EQ(reservation_verdict::reserved, co_await router->reserve("c", 700, 1000ms));
    });
}

TEST_F(budget_keeper_test, last_tokens_reach_the_router_that_asks) {
    keeper* const a = start("a");
    keeper* const b = start("b");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await a->reserve("c", 100, 1000ms));
        a->settle("c", 100, 0);
        EXPECT_TRUE(co_await a->return_allowances());
        EXPECT_EQ(reservation_verdict::reserved, co_await b->reserve("c", prepaid, 1000ms));
    });
}

TEST_F(budget_keeper_test, grant_whose_answer_was_lost_is_found_again) {
    ledger->faults.lost = 100;
    keeper* const router = start("a");
    run_task(context, [&]() -> task<void> {
        (void)co_await router->reserve("c", prepaid, 100ms);
        ledger->faults.lost = 0;
        co_await sleep_for(600ms);
        EXPECT_EQ(reservation_verdict::reserved, co_await router->reserve("c", prepaid, 1000ms));
    });
}

/// One fleet on one ledger, and what its requests used.
struct schedule {
    std::shared_ptr<shared_ledger> ledger = std::make_shared<shared_ledger>();
    std::vector<std::shared_ptr<faulty_writer>> writers;
    std::vector<std::shared_ptr<keeper_process>>
        dead; ///< Kept, as a paused process would be, and still asked.
    std::vector<std::shared_ptr<keeper_process>> routers;
    tokens used = 0;
    int served = 0;

    /// What requests used, and what routers, paused ones too, could still let requests use.
    tokens usable() const {
        tokens sum = used;
        for (const auto* processes : {&routers, &dead}) {
            for (const auto& each : *processes) {
                sum += each->budgets.view("c").available;
            }
        }
        return sum;
    }
};

task<void> serve_one(std::shared_ptr<schedule> fleet, std::shared_ptr<keeper_process> router) {
    const tokens most = 50 + tokens(fleet->ledger->random() % 800);
    if (co_await router->budgets.reserve("c", most, 200ms) != reservation_verdict::reserved) {
        co_return;
    }
    co_await sleep_for(std::chrono::milliseconds(fleet->ledger->random() % 30));
    const tokens used = tokens(fleet->ledger->random() % std::uint64_t(most + 1));
    fleet->used += used;
    ++fleet->served;
    router->budgets.settle("c", most, used);
}

task<void> stop(std::shared_ptr<keeper_process> router) {
    (void)co_await router->budgets.return_allowances();
}

/// Requests at random routers; now and then a router dies with its allowance, or stops as planned, and
/// another starts.
task<void> play(asio::io_context& context, std::shared_ptr<schedule> fleet) {
    constexpr int steps = 150;
    constexpr int routers = 3;
    for (int i = 0; i < 2; ++i) {
        fleet->writers.push_back(make_writer(context, fleet->ledger));
    }
    const auto start = [&](const std::string& name) {
        return std::make_shared<keeper_process>(context, fleet->ledger, fleet->writers, name);
    };
    for (int i = 0; i < routers; ++i) {
        fleet->routers.push_back(start("router-" + std::to_string(i)));
    }
    for (int i = 0; i < steps; ++i) {
        auto& random = fleet->ledger->random;
        auto& chosen = fleet->routers[random() % routers];
        if (random() % 20 == 0) {
            if (random() % 2 == 0) {
                asio::co_spawn(context, stop(chosen), asio::detached);
            }
            fleet->dead.push_back(chosen);
            chosen = start("router-again-" + std::to_string(i));
        }
        fleet->ledger->down = random() % 30 == 0;
        const bool at_paused = !fleet->dead.empty() && random() % 10 == 0;
        asio::co_spawn(context, serve_one(fleet, at_paused ? fleet->dead.back() : chosen), asio::detached);
        co_await sleep_for(std::chrono::milliseconds(random() % 20));
    }
    fleet->ledger->down = false;
    co_await sleep_for(800ms);
}

/// Plays many schedules at once; returns how many spent more than was paid.
int count_overspent(unsigned first_seed, unsigned seeds, ledger_defect defect, int* served = nullptr) {
    asio::io_context context;
    std::vector<std::shared_ptr<schedule>> fleets;
    for (unsigned seed = first_seed; seed < first_seed + seeds; ++seed) {
        auto fleet = std::make_shared<schedule>();
        fleet->ledger->random.seed(seed);
        fleet->ledger->faults = {seed % 4 * 3, seed % 5 * 4, seed % 3 * 4, seed % 2 * 10};
        fleet->ledger->defect = defect;
        fleets.push_back(fleet);
        asio::co_spawn(context, play(context, fleet), asio::detached);
    }
    context.run_for(std::chrono::seconds(3));
    int overspent = 0;
    for (const auto& fleet : fleets) {
        overspent += fleet->usable() > prepaid || fleet->ledger->most_taken["c"] > prepaid ? 1 : 0;
        if (served != nullptr) {
            *served += fleet->served;
        }
    }
    return overspent;
}

TEST(budget_schedules, no_schedule_spends_more_than_was_paid) {
    int served = 0;
    EXPECT_EQ(0, count_overspent(1, 300, ledger_defect::none, &served));
    EXPECT_GT(served, 300 * 10) << "the schedules hardly served anything";
}

class defect_test : public ::testing::TestWithParam<ledger_defect> {};

TEST_P(defect_test, checker_finds_a_deliberate_fault) {
    EXPECT_GT(count_overspent(1, 60, GetParam()), 0);
}

std::string name_of_defect(const ::testing::TestParamInfo<ledger_defect>& info) {
    constexpr std::array names = {"none",
                                  "store_ignores_revision",
                                  "unknown_as_applied",
                                  "limit_ignored",
                                  "reduction_not_told",
                                  "return_written_twice",
                                  "return_applied_again"};
    return names.at(static_cast<std::size_t>(info.param));
}

INSTANTIATE_TEST_SUITE_P(budget_schedules, defect_test,
                         ::testing::Values(ledger_defect::store_ignores_revision,
                                           ledger_defect::unknown_as_applied, ledger_defect::limit_ignored,
                                           ledger_defect::reduction_not_told,
                                           ledger_defect::return_written_twice,
                                           ledger_defect::return_applied_again),
                         name_of_defect);

} // namespace
} // namespace eelgrassgw

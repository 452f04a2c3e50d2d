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

/// What all routers have taken after one router took tokens, stopped, and its return arrived twice.
tokens taken_after_a_repeated_return(ledger_defect defect) {
    asio::io_context context;
    auto ledger = std::make_shared<shared_ledger>();
    ledger->defect = defect;
    keeper_process router(context, ledger, {make_writer(context, ledger)}, "a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await router.budgets.reserve("c", 500, 1000ms));
        router.budgets.settle("c", 500, 200);
        ledger->faults.repeated = 100;
        (void)co_await router.budgets.return_allowances(); // With the deliberate fault it is never confirmed.
    });
    return ledger->stored.ledger.taken_by_all("c");
}

TEST(repeated_return_test, return_that_arrives_twice_is_applied_once) {
    EXPECT_EQ(200, taken_after_a_repeated_return(ledger_defect::none));
}

TEST(repeated_return_test, return_that_is_applied_twice_shows_in_what_is_taken) {
    EXPECT_LT(taken_after_a_repeated_return(ledger_defect::return_applied_again), 200);
}

/// How the routers of a schedule end, and what becomes of their messages.
struct schedule_plan {
    unsigned seed = 0;
    ledger_faults faults;
    unsigned steps_per_end = 20;         ///< Average number of steps between two ends of routers.
    unsigned planned_stops_percent = 50; ///< Of the routers that end; the others die with their allowance.
};

/// Routers end seldom, half of them as planned; up to a tenth of the messages is repeated.
schedule_plan plan_with_all_faults(unsigned seed) {
    return {seed, {seed % 4 * 3, seed % 5 * 4, seed % 3 * 4, seed % 2 * 10}};
}

/// Routers stop as planned every few steps, and most messages are repeated, so that each schedule has several
/// repeated returns.
schedule_plan plan_with_repeated_returns(unsigned seed) {
    return {seed, {seed % 3, seed % 2, seed % 2, 60}, 10, 90};
}

/// One fleet on one ledger, and what its requests used.
struct schedule {
    schedule_plan plan;
    bool ended = false;
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
        if (random() % fleet->plan.steps_per_end == 0) {
            if (random() % 100 < fleet->plan.planned_stops_percent) {
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
    fleet->ended = true;
}

/// Counts over a set of schedules.
struct schedule_results {
    int played_to_the_end = 0;
    int overspent = 0; ///< Schedules that spent more than was paid.
    int served = 0;    ///< Requests.
};

/// Plays all schedules at once.
schedule_results play_all(const std::vector<schedule_plan>& plans, ledger_defect defect) {
    constexpr std::chrono::seconds limit{60}; // A busy machine plays them slower, and all are to end.
    asio::io_context context;
    std::vector<std::shared_ptr<schedule>> fleets;
    for (const schedule_plan& plan : plans) {
        auto fleet = std::make_shared<schedule>();
        fleet->plan = plan;
        fleet->ledger->random.seed(plan.seed);
        fleet->ledger->faults = plan.faults;
        fleet->ledger->defect = defect;
        fleets.push_back(fleet);
        asio::co_spawn(context, play(context, fleet), asio::detached);
    }
    const auto has_ended = [](const auto& fleet) {
        return fleet->ended;
    };
    const auto give_up_at = std::chrono::steady_clock::now() + limit;
    while (!std::all_of(fleets.begin(), fleets.end(), has_ended) &&
           std::chrono::steady_clock::now() < give_up_at) {
        context.run_for(100ms);
    }
    schedule_results results;
    for (const auto& fleet : fleets) {
        results.played_to_the_end += fleet->ended ? 1 : 0;
        results.overspent += fleet->usable() > prepaid || fleet->ledger->most_taken["c"] > prepaid ? 1 : 0;
        results.served += fleet->served;
    }
    return results;
}

/// `count` schedules of each kind.
std::vector<schedule_plan> plans_of_both_kinds(unsigned count) {
    std::vector<schedule_plan> plans;
    for (unsigned seed = 1; seed <= count; ++seed) {
        plans.push_back(plan_with_all_faults(seed));
        plans.push_back(plan_with_repeated_returns(seed));
    }
    return plans;
}

TEST(budget_schedules, no_schedule_spends_more_than_was_paid) {
    const auto plans = plans_of_both_kinds(300);
    const schedule_results results = play_all(plans, ledger_defect::none);
    EXPECT_EQ(int(plans.size()), results.played_to_the_end);
    EXPECT_EQ(0, results.overspent);
    EXPECT_GT(results.served, int(plans.size()) * 10) << "the schedules hardly served anything";
}

class defect_test : public ::testing::TestWithParam<ledger_defect> {};

TEST_P(defect_test, checker_finds_a_deliberate_fault) {
    constexpr int least_found = 5; // One find alone could be luck.
    const auto plans = plans_of_both_kinds(60);
    const schedule_results results = play_all(plans, GetParam());
    EXPECT_EQ(int(plans.size()), results.played_to_the_end);
    EXPECT_GE(results.overspent, least_found);
    RecordProperty("overspent", results.overspent);
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

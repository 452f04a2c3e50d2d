/// Tests that routers sharing a prepaid budget never spend more than was paid, even if writes to the ledger
/// are lost, delayed or repeated and routers crash.
///
/// A checker adds the tokens that requests used to those that routers still hold, and compares the sum with
/// the prepaid tokens.

#include "budgets/budget_keeper.h"
#include "faulty_ledger.h"
#include "task_runner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using keeper = budget_keeper<faulty_ledger_service>;

constexpr tokens prepaid_tokens = 20000;

std::shared_ptr<const fleet_configuration> configuration_with_prepaid(tokens amount,
                                                                      std::uint64_t version = 1) {
    return fleet_configuration::builder(version).add(customer{"c", {"k"}, {}, amount}).build();
}

/// The budget keeper of one router, with its connection to the ledger.
struct keeper_process {
    keeper_process(asio::io_context& context, std::shared_ptr<shared_ledger> ledger,
                   std::vector<std::shared_ptr<faulty_writer>> writers, const std::string& name)
        : connection(std::move(ledger), std::move(writers)),
          budgets(context, connection, ledger_identity{name, ""}, policy(), [](const char*, Json::Value) {}) {
        budgets.set_configuration(configuration_with_prepaid(prepaid_tokens));
        asio::co_spawn(context, budgets.run(), asio::detached);
    }

    /// Returns a policy under which the budget of the tests is scarce only towards its end.
    static allowance_policy policy() {
        allowance_policy scaled;
        scaled.scarce_tokens_per_router = 1000; // About the largest request of the schedules.
        return scaled;
    }

    faulty_ledger_service connection;
    keeper budgets;
};

std::shared_ptr<faulty_writer> make_writer(asio::io_context& context, std::shared_ptr<shared_ledger> ledger) {
    constexpr faulty_writer::recovery_times recovery{800ms, 1200ms};
    return std::make_shared<faulty_writer>(
        context, faulty_ledger(std::move(ledger)), [](const char*, Json::Value) {}, recovery);
}

class budget_keeper_test : public ::testing::Test {
protected:
    keeper* start_router(const std::string& name) {
        processes.push_back(std::make_unique<keeper_process>(context, ledger, writers, name));
        return &processes.back()->budgets;
    }

    asio::io_context context;
    std::shared_ptr<shared_ledger> ledger = std::make_shared<shared_ledger>();
    std::vector<std::shared_ptr<faulty_writer>> writers{make_writer(context, ledger)};
    std::vector<std::unique_ptr<keeper_process>> processes;
};

TEST_F(budget_keeper_test, first_request_takes_from_the_ledger) {
    keeper* const router = start_router("a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await router->reserve("c", 500, 1000ms));
    });
    EXPECT_GE(ledger->stored.ledger.taken_by_all("c"), 500);
}

TEST_F(budget_keeper_test, request_beyond_the_budget_is_exhausted) {
    keeper* const router = start_router("a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::exhausted, co_await router->reserve("c", prepaid_tokens + 1, 1000ms));
    });
}

TEST_F(budget_keeper_test, request_without_ledger_is_unknown_not_exhausted) {
    ledger->down = true;
    keeper* const router = start_router("a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::unknown, co_await router->reserve("c", 500, 300ms));
    });
}

TEST_F(budget_keeper_test, top_up_is_spendable) {
    keeper* const router = start_router("a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await router->reserve("c", prepaid_tokens, 1000ms));
        router->set_configuration(configuration_with_prepaid(prepaid_tokens + 700, 2));
        EXPECT_EQ(reservation_verdict::reserved, co_await router->reserve("c", 700, 1000ms));
    });
}

TEST_F(budget_keeper_test, returned_tokens_let_another_router_reserve_the_whole_budget) {
    keeper* const a = start_router("a");
    keeper* const b = start_router("b");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await a->reserve("c", 100, 1000ms));
        a->settle("c", 100, 0);
        EXPECT_TRUE(co_await a->return_allowances());
        EXPECT_EQ(reservation_verdict::reserved, co_await b->reserve("c", prepaid_tokens, 1000ms));
    });
}

TEST_F(budget_keeper_test, grant_with_a_lost_answer_is_found_later) {
    ledger->faults.lost_answer_percent = 100;
    keeper* const router = start_router("a");
    run_task(context, [&]() -> task<void> {
        (void)co_await router->reserve("c", prepaid_tokens, 100ms);
        ledger->faults.lost_answer_percent = 0;
        co_await sleep_for(600ms);
        EXPECT_EQ(reservation_verdict::reserved, co_await router->reserve("c", prepaid_tokens, 1000ms));
    });
}

/// Returns the tokens taken by all routers after a router has taken 500 tokens, used 200, and stopped, and
/// its return of the rest has arrived twice.
tokens taken_after_a_repeated_return(ledger_defect defect) {
    asio::io_context context;
    auto ledger = std::make_shared<shared_ledger>();
    ledger->defect = defect;
    keeper_process router(context, ledger, {make_writer(context, ledger)}, "a");
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await router.budgets.reserve("c", 500, 1000ms));
        router.budgets.settle("c", 500, 200);
        ledger->faults.repeated_percent = 100;
        // With the injected defect, the return is never confirmed.
        (void)co_await router.budgets.return_allowances();
    });
    return ledger->stored.ledger.taken_by_all("c");
}

TEST(repeated_return_test, return_that_arrives_twice_is_applied_once) {
    EXPECT_EQ(200, taken_after_a_repeated_return(ledger_defect::none));
}

TEST(repeated_return_test, return_that_is_applied_twice_lowers_the_taken_tokens_too_far) {
    EXPECT_LT(taken_after_a_repeated_return(ledger_defect::return_applied_again), 200);
}

/// Lets a router use its whole budget, restores the ledger from a copy that lacks the grant, and returns
/// whether another router is then granted tokens of the same budget.
bool is_granted_again_after_restore(ledger_defect defect) {
    asio::io_context context;
    auto ledger = std::make_shared<shared_ledger>();
    ledger->defect = defect;
    const auto writer = make_writer(context, ledger);
    keeper_process first(context, ledger, {writer}, "a");
    keeper_process second(context, ledger, {writer}, "b");
    reservation_verdict verdict = reservation_verdict::unknown;
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(reservation_verdict::reserved, co_await first.budgets.reserve("c", 10, 1000ms));
        ledger->take_copy();
        EXPECT_EQ(reservation_verdict::reserved,
                  co_await first.budgets.reserve("c", prepaid_tokens - 10, 1000ms));
        ledger->restore_copy();
        first.budgets.check_restored_ledger();
        second.budgets.check_restored_ledger();
        co_await sleep_for(3s);
        verdict = co_await second.budgets.reserve("c", 500, 1000ms);
    });
    return verdict == reservation_verdict::reserved;
}

TEST(restored_ledger_test, tokens_whose_grant_was_forgotten_are_not_granted_again) {
    EXPECT_FALSE(is_granted_again_after_restore(ledger_defect::none));
}

TEST(restored_ledger_test, router_that_does_not_write_its_grants_again_is_detected) {
    EXPECT_TRUE(is_granted_again_after_restore(ledger_defect::grants_not_restored));
}

/// Describes how often routers end in a schedule, and which faults happen to their calls.
struct schedule_plan {
    unsigned seed = 0;
    ledger_faults faults;
    unsigned steps_per_router_end = 20; ///< Average number of steps until the next router ends.

    /// Share of planned stops among the routers that end, in percent. The other routers crash, and their
    /// allowances are not returned.
    unsigned planned_stops_percent = 50;

    /// Average number of steps until the store is restored from a copy; 0 means never.
    unsigned steps_per_restore = 0;
};

/// Returns a plan in which routers end rarely, half of them by a planned stop, and any kind of fault may
/// occur. Up to 10 % of the calls are repeated.
schedule_plan plan_with_all_faults(unsigned seed) {
    return {seed, {seed % 4 * 3, seed % 5 * 4, seed % 3 * 4, seed % 2 * 10}};
}

/// Returns a plan in which routers are stopped every few steps and most calls are repeated, so that each
/// schedule contains several repeated returns of allowances.
schedule_plan plan_with_repeated_returns(unsigned seed) {
    return {seed, {seed % 3, seed % 2, seed % 2, 60}, 10, 90};
}

/// Returns a plan in which the store is restored from copies. In half of the plans most routers that end are
/// dead; in the others all of them stop as planned, so that no tokens are withheld.
schedule_plan plan_with_restores(unsigned seed) {
    const unsigned planned_stops_percent = seed % 2 == 0 ? 30 : 100;
    return {seed, {0, 0, 0, seed % 3 * 10}, 30, planned_stops_percent, 60};
}

/// One run of a fleet that shares a ledger, with the tokens that its requests used.
struct schedule {
    schedule_plan plan;
    bool finished = false; ///< Whether all steps have run.
    std::shared_ptr<shared_ledger> ledger = std::make_shared<shared_ledger>();
    std::vector<std::shared_ptr<faulty_writer>> writers;

    /// Routers that have stopped or crashed. Like paused processes, they continue to exist and may still
    /// receive requests.
    std::vector<std::shared_ptr<keeper_process>> ended_routers;

    std::vector<std::shared_ptr<keeper_process>> routers; ///< Routers that are running.
    tokens used_tokens = 0;                               ///< Tokens used by all served requests.
    int served_requests = 0;                              ///< Number of requests that got a reservation.

    /// Returns the tokens that requests used plus those that routers, including ended ones, could still
    /// grant.
    tokens spendable_tokens() const {
        tokens sum = used_tokens;
        for (const auto* processes : {&routers, &ended_routers}) {
            for (const auto& process : *processes) {
                sum += process->connection.is_cut ? 0 : process->budgets.view("c").available;
            }
        }
        return sum;
    }

    /// Restores the store from its copy. All routers that live notice it by their watches.
    void restore_store() {
        ledger->restore_copy();
        for (const auto* processes : {&routers, &ended_routers}) {
            for (const auto& process : *processes) {
                process->budgets.check_restored_ledger();
            }
        }
    }
};

/// Reserves a random number of tokens at `router`, and after a random time settles the reservation with a
/// random number of used tokens.
task<void> serve_request(std::shared_ptr<schedule> fleet, std::shared_ptr<keeper_process> router) {
    const tokens max_tokens = 50 + tokens(fleet->ledger->random() % 800);
    if (co_await router->budgets.reserve("c", max_tokens, 200ms) != reservation_verdict::reserved) {
        co_return;
    }
    co_await sleep_for(std::chrono::milliseconds(fleet->ledger->random() % 30));
    const tokens used_tokens = tokens(fleet->ledger->random() % std::uint64_t(max_tokens + 1));
    fleet->used_tokens += used_tokens;
    ++fleet->served_requests;
    router->budgets.settle("c", max_tokens, used_tokens);
}

task<void> stop_router(std::shared_ptr<keeper_process> router) {
    (void)co_await router->budgets.return_allowances();
}

/// Runs one schedule: sends requests to random routers, and replaces routers that crash with their allowance
/// or stop as planned.
task<void> run_schedule(asio::io_context& context, std::shared_ptr<schedule> fleet) {
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
        if (random() % fleet->plan.steps_per_router_end == 0) {
            if (random() % 100 < fleet->plan.planned_stops_percent) {
                asio::co_spawn(context, stop_router(chosen), asio::detached);
            } else {
                chosen->connection.is_cut = fleet->plan.steps_per_restore > 0;
            }
            fleet->ended_routers.push_back(chosen);
            chosen = start("router-again-" + std::to_string(i));
        }
        if (fleet->plan.steps_per_restore > 0) {
            if (random() % 30 == 0) {
                fleet->ledger->take_copy();
            } else if (random() % fleet->plan.steps_per_restore == 0) {
                fleet->restore_store();
            }
        } else {
            fleet->ledger->down = random() % 30 == 0;
        }
        const bool uses_ended_router = !fleet->ended_routers.empty() && random() % 10 == 0 &&
                                       !fleet->ended_routers.back()->connection.is_cut;
        asio::co_spawn(context,
                       serve_request(fleet, uses_ended_router ? fleet->ended_routers.back() : chosen),
                       asio::detached);
        co_await sleep_for(std::chrono::milliseconds(random() % 20));
    }
    fleet->ledger->down = false;
    co_await sleep_for(800ms);
    fleet->finished = true;
}

/// Summary of a set of schedules.
struct schedule_results {
    int finished_schedules = 0;         ///< Number of schedules that ran all their steps.
    std::vector<std::string> overspent; ///< The schedules that could spend more than was paid.
    int served_requests = 0;            ///< Number of requests that got a reservation, over all schedules.
};

/// Runs all schedules concurrently on one thread and checks each of them afterwards.
schedule_results run_schedules(const std::vector<schedule_plan>& plans, ledger_defect defect) {
    // The timeout is generous because all schedules must finish, even on a busy machine.
    constexpr std::chrono::seconds timeout{60};
    asio::io_context context;
    std::vector<std::shared_ptr<schedule>> fleets;
    for (const schedule_plan& plan : plans) {
        auto fleet = std::make_shared<schedule>();
        fleet->plan = plan;
        fleet->ledger->random.seed(plan.seed);
        fleet->ledger->faults = plan.faults;
        fleet->ledger->defect = defect;
        fleets.push_back(fleet);
        asio::co_spawn(context, run_schedule(context, fleet), asio::detached);
    }
    const auto is_finished = [](const auto& fleet) {
        return fleet->finished;
    };
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!std::all_of(fleets.begin(), fleets.end(), is_finished) &&
           std::chrono::steady_clock::now() < deadline) {
        context.run_for(100ms);
    }
    schedule_results results;
    for (const auto& fleet : fleets) {
        results.finished_schedules += fleet->finished ? 1 : 0;
        const tokens spendable = fleet->spendable_tokens();
        const tokens taken = fleet->ledger->max_taken["c"];
        if (std::max(spendable, taken) > prepaid_tokens) {
            results.overspent.push_back("seed " + std::to_string(fleet->plan.seed) + ": spendable " +
                                        std::to_string(spendable) + ", taken " + std::to_string(taken));
        }
        results.served_requests += fleet->served_requests;
    }
    return results;
}

/// Returns `count` plans of each kind, with the seeds 1 to `count`.
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
    const schedule_results results = run_schedules(plans, ledger_defect::none);
    EXPECT_EQ(int(plans.size()), results.finished_schedules);
    EXPECT_EQ(std::vector<std::string>{}, results.overspent);
    EXPECT_GT(results.served_requests, int(plans.size()) * 10)
        << "the schedules served too few requests to test anything";
}

/// Returns plans with restores of the store, with the seeds 1 to `count`.
std::vector<schedule_plan> plans_with_restores(unsigned count) {
    std::vector<schedule_plan> plans;
    for (unsigned seed = 1; seed <= count; ++seed) {
        plans.push_back(plan_with_restores(seed));
    }
    return plans;
}

TEST(budget_schedules, no_schedule_with_restores_of_the_store_spends_more_than_was_paid) {
    const auto plans = plans_with_restores(200);
    const schedule_results results = run_schedules(plans, ledger_defect::none);
    EXPECT_EQ(int(plans.size()), results.finished_schedules);
    EXPECT_EQ(std::vector<std::string>{}, results.overspent);
    EXPECT_GT(results.served_requests, int(plans.size()) * 10)
        << "the schedules served too few requests to test anything";
}

class restore_defect_test : public ::testing::TestWithParam<ledger_defect> {};

TEST_P(restore_defect_test, checker_detects_an_injected_defect) {
    constexpr int min_overspent_schedules = 5; // A single overspent schedule could be a coincidence.
    const auto plans = plans_with_restores(120);
    const schedule_results results = run_schedules(plans, GetParam());
    EXPECT_EQ(int(plans.size()), results.finished_schedules);
    EXPECT_GE(int(results.overspent.size()), min_overspent_schedules);
    RecordProperty("overspent", int(results.overspent.size()));
}

class defect_test : public ::testing::TestWithParam<ledger_defect> {};

TEST_P(defect_test, checker_detects_an_injected_defect) {
    constexpr int min_overspent_schedules = 5; // A single overspent schedule could be a coincidence.
    const auto plans = plans_of_both_kinds(60);
    const schedule_results results = run_schedules(plans, GetParam());
    EXPECT_EQ(int(plans.size()), results.finished_schedules);
    EXPECT_GE(int(results.overspent.size()), min_overspent_schedules);
    RecordProperty("overspent", int(results.overspent.size()));
}

std::string defect_name(const ::testing::TestParamInfo<ledger_defect>& info) {
    constexpr std::array names = {"none",
                                  "store_ignores_revision",
                                  "unknown_as_applied",
                                  "limit_ignored",
                                  "reduction_not_told",
                                  "return_written_twice",
                                  "return_applied_again",
                                  "grants_not_restored",
                                  "recovery_skipped"};
    return names.at(static_cast<std::size_t>(info.param));
}

INSTANTIATE_TEST_SUITE_P(budget_schedules, defect_test,
                         ::testing::Values(ledger_defect::store_ignores_revision,
                                           ledger_defect::unknown_as_applied, ledger_defect::limit_ignored,
                                           ledger_defect::reduction_not_reported,
                                           ledger_defect::return_written_twice,
                                           ledger_defect::return_applied_again),
                         defect_name);

INSTANTIATE_TEST_SUITE_P(budget_schedules, restore_defect_test,
                         ::testing::Values(ledger_defect::recovery_skipped), defect_name);

} // namespace
} // namespace eelgrassgw

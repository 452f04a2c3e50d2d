#pragma once

/// Defines an in-memory ledger store and a ledger service that inject faults: they become unreachable, and
/// they lose, delay or repeat calls.

#include "budgets/budget_keeper.h"
#include "budgets/ledger_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace eelgrassgw {

/// Shares of the calls that fail, in percent, by kind of fault.
struct ledger_faults {
    unsigned unreachable_percent = 0; ///< Calls that fail and have no effect.
    unsigned lost_answer_percent = 0; ///< Calls that are applied but whose answer is lost.
    unsigned delayed_percent = 0;     ///< Calls that fail but arrive later, with their original condition.
    unsigned repeated_percent = 0;    ///< Calls that arrive a second time right after the first.
};

/// Bugs that a test injects on purpose, to show that the checker detects them.
enum class ledger_defect {
    none,                   ///< The ledger works as specified.
    store_ignores_revision, ///< The store applies writes even if the expected revision is outdated.
    unknown_as_applied,     ///< A router treats a write without an answer as applied.
    limit_ignored,          ///< Grants may exceed the prepaid tokens.
    reduction_not_reported, ///< A router assumes that its write granted all the tokens it requested.
    return_written_twice,   ///< The tokens that a router returns are subtracted twice.
    return_applied_again,   ///< A repeated return is applied as if it were a new one.
    grants_not_restored,    ///< Routers do not write again what a restored store has forgotten.
    recovery_skipped,       ///< Tokens are granted right after a restore, without waiting for the routers.
};

/// The stored ledger and the injected faults, shared by all routers of a test.
struct shared_ledger {
    static constexpr std::uint64_t first_era = 1;

    versioned_ledger stored{{}, {first_era, 0}}; ///< The ledger with its position.
    std::mt19937 random;                         ///< Random numbers that decide which calls fail.
    ledger_faults faults;                        ///< Shares of the calls that fail.
    ledger_defect defect = ledger_defect::none;  ///< Bug that the test injects.
    bool down = false;                           ///< Whether the store is unreachable for all calls.
    std::chrono::milliseconds added_latency{0};  ///< Extra duration of each call to the store.
    int writes = 0;                              ///< Number of writes that reached the store, applied or not.

    /// Highest number of tokens that the ledger ever recorded as taken, by customer.
    std::map<std::string, tokens> max_taken;

    versioned_ledger copy; ///< The copy from which the store can be restored.

    /// Keeps a copy of the ledger.
    void take_copy() { copy = stored; }

    /// Restores the copy, so that all later writes are forgotten, and begins a new era.
    void restore_copy() {
        const std::uint64_t era = stored.position.era + 1;
        stored = copy;
        stored.position.era = era;
    }

    /// Returns true at random, with a probability of `percent`.
    bool draw_fault(unsigned percent) { return random() % 100 < percent; }

    /// Stores `next` if the stored revision is `expected_revision`, and returns whether it did.
    bool apply(const budget_ledger& next, std::uint64_t expected_revision) {
        ++writes;
        if (defect != ledger_defect::store_ignores_revision &&
            expected_revision != stored.position.revision) {
            return false;
        }
        stored.ledger = next;
        if (defect == ledger_defect::recovery_skipped) {
            stored.ledger.end_recovery();
            stored.ledger.missing.clear();
        }
        ++stored.position.revision;
        for (const auto& [customer, amount] : next.taken) {
            const bool restored = stored.position.era != first_era; // Restored grants may exceed the limit.
            max_taken[customer] = std::max(max_taken[customer], restored ? 0 : amount);
        }
        return true;
    }
};

/// A store that holds the shared ledger and injects the faults. Implements `ledger_store`.
class faulty_ledger {
public:
    explicit faulty_ledger(std::shared_ptr<shared_ledger> shared) : shared_(std::move(shared)) {}

    task<result<versioned_ledger>> read() {
        co_await sleep_for(std::chrono::milliseconds(1) + shared_->added_latency);
        if (shared_->down || shared_->draw_fault(shared_->faults.unreachable_percent)) {
            co_return make_failure(errc::unreachable, "read ledger", "fake", "down");
        }
        co_return shared_->stored;
    }

    task<ledger_write> write(budget_ledger next, std::uint64_t expected_revision) {
        co_await sleep_for(std::chrono::milliseconds(1 + shared_->random() % 3) + shared_->added_latency);
        ledger_write outcome;
        outcome.error = "no answer";
        if (shared_->down || shared_->draw_fault(shared_->faults.unreachable_percent)) {
            co_return outcome;
        }
        if (shared_->draw_fault(shared_->faults.delayed_percent)) {
            asio::co_spawn(co_await asio::this_coro::executor, apply_later(shared_, next, expected_revision),
                           asio::detached);
            co_return outcome;
        }
        const bool applied = shared_->apply(next, expected_revision);
        const bool repetition_applied =
            shared_->draw_fault(shared_->faults.repeated_percent) && shared_->apply(next, expected_revision);
        if (shared_->draw_fault(shared_->faults.lost_answer_percent)) {
            co_return outcome;
        }
        outcome.status = applied || repetition_applied ? ledger_write::status_kind::applied
                                                       : ledger_write::status_kind::conflict;
        outcome.current = shared_->stored;
        co_return outcome;
    }

private:
    /// Applies a delayed write after a random time.
    static task<void> apply_later(std::shared_ptr<shared_ledger> shared, budget_ledger next,
                                  std::uint64_t expected_revision) {
        co_await sleep_for(std::chrono::milliseconds(20 + shared->random() % 100));
        shared->apply(next, expected_revision);
    }

    std::shared_ptr<shared_ledger> shared_;
};

using faulty_writer = ledger_writer<faulty_ledger>;

/// One router's connection to the writers, over an unreliable network. Implements
/// `ledger_service`.
class faulty_ledger_service {
public:
    faulty_ledger_service(std::shared_ptr<shared_ledger> shared,
                          std::vector<std::shared_ptr<faulty_writer>> writers)
        : shared_(std::move(shared)), writers_(std::move(writers)) {}

    task<ledger_outcome> submit(const ledger_request& request) {
        const ledger_request sent = inject_defect(request);
        ledger_outcome unknown;
        unknown.error = "no answer";
        if (is_cut) {
            co_await sleep_for(std::chrono::milliseconds(1));
            co_return unknown;
        }
        if (shared_->draw_fault(shared_->faults.unreachable_percent)) {
            co_return reported_outcome(unknown, sent);
        }
        if (shared_->draw_fault(shared_->faults.delayed_percent)) {
            asio::co_spawn(co_await asio::this_coro::executor, submit_later(shared_, pick_writer(), sent),
                           asio::detached);
            co_return reported_outcome(unknown, sent);
        }
        const std::shared_ptr<faulty_writer> writer = pick_writer();
        ledger_outcome outcome = co_await writer->submit(sent);
        if (shared_->draw_fault(shared_->faults.repeated_percent)) {
            const ledger_request repetition = repeat_request(sent);
            const std::shared_ptr<faulty_writer> other = pick_writer();
            outcome = co_await other->submit(repetition);
        }
        co_return reported_outcome(
            shared_->draw_fault(shared_->faults.lost_answer_percent) ? unknown : outcome, sent);
    }

    bool is_cut = false; ///< Whether the router cannot reach any writer, as if it had died.

private:
    /// Submits a delayed request after a random time and ignores its outcome.
    static task<void> submit_later(std::shared_ptr<shared_ledger> shared,
                                   std::shared_ptr<faulty_writer> writer, ledger_request request) {
        co_await sleep_for(std::chrono::milliseconds(20 + shared->random() % 100));
        (void)co_await writer->submit(request);
    }

    /// Returns a writer chosen at random.
    std::shared_ptr<faulty_writer> pick_writer() { return writers_[shared_->random() % writers_.size()]; }

    /// Returns the request as the injected defect changes it on its way to the writer.
    ledger_request inject_defect(ledger_request request) const {
        if (shared_->defect == ledger_defect::grants_not_restored && request.is_restoration) {
            request.changes.clear();
        }
        for (auto& [customer, wanted] : request.changes) {
            if (shared_->defect == ledger_defect::limit_ignored) {
                wanted.max_taken *= 2;
            }
            if (shared_->defect == ledger_defect::return_written_twice && wanted.amount < 0) {
                wanted.amount *= 2;
            }
        }
        return request;
    }

    /// Returns the second copy of a request that arrives twice.
    ledger_request repeat_request(ledger_request request) const {
        const bool returns_tokens = std::any_of(request.changes.begin(), request.changes.end(),
                                                [](const auto& change) { return change.second.amount < 0; });
        if (shared_->defect == ledger_defect::return_applied_again && returns_tokens) {
            request.previous = shared_->stored.ledger.last_write(request.router).sequence;
        }
        return request;
    }

    /// Returns the outcome as the injected defect reports it to the router.
    ledger_outcome reported_outcome(ledger_outcome outcome, const ledger_request& request) const {
        if (shared_->defect == ledger_defect::unknown_as_applied && request.writes() &&
            outcome.status == ledger_outcome::status_kind::unknown) {
            outcome.status = ledger_outcome::status_kind::applied;
            outcome.current = shared_->stored;
            outcome.current.ledger.writers[request.router].sequence = request.sequence;
        }
        if (shared_->defect == ledger_defect::reduction_not_reported) {
            outcome.current.ledger.writers[request.router].reduced.clear();
        }
        return outcome;
    }

    std::shared_ptr<shared_ledger> shared_;
    std::vector<std::shared_ptr<faulty_writer>> writers_;
};

} // namespace eelgrassgw

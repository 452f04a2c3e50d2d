#pragma once

/// A ledger store in memory that loses answers, delays writes and goes away.

#include "budgets/budget_keeper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <memory>
#include <random>

namespace eelgrassgw {

/// What a schedule does to calls, each in percent.
struct ledger_faults {
    unsigned unreachable = 0; ///< The call fails and has no effect.
    unsigned lost = 0;        ///< The write is done, and its answer is lost.
    unsigned late = 0;        ///< The write fails, and is done later if its condition still holds.
    unsigned repeated = 0;    ///< The write arrives a second time right after the first, which answers.
};

/// Deliberate faults of the store's client, to show that the checker finds them.
enum class ledger_defect { none, ignores_revision, lost_as_applied, conflict_as_applied };

/// The stored document, shared by all routers of a schedule.
struct shared_ledger {
    versioned_ledger stored;
    std::mt19937 random;
    ledger_faults faults;
    ledger_defect defect = ledger_defect::none;
    bool down = false;
    std::map<std::string, tokens> most_taken; ///< The most that each customer's `taken` ever was.

    bool hits(unsigned percent) { return random() % 100 < percent; }

    bool apply(const budget_ledger& next, std::uint64_t expected) {
        if (defect != ledger_defect::ignores_revision && expected != stored.revision) {
            return false;
        }
        stored.ledger = next;
        ++stored.revision;
        for (const auto& [customer, amount] : next.taken) {
            most_taken[customer] = std::max(most_taken[customer], amount);
        }
        return true;
    }
};

/// Meets `ledger_store`.
class faulty_ledger {
public:
    explicit faulty_ledger(std::shared_ptr<shared_ledger> shared) : shared_(std::move(shared)) {}

    task<result<versioned_ledger>> read() {
        co_await sleep_for(std::chrono::milliseconds(1));
        if (shared_->down || shared_->hits(shared_->faults.unreachable)) {
            co_return make_failure(errc::unreachable, "read ledger", "fake", "down");
        }
        co_return shared_->stored;
    }

    task<ledger_write> write(budget_ledger next, std::uint64_t expected) {
        co_await sleep_for(std::chrono::milliseconds(1 + shared_->random() % 3));
        ledger_write unknown;
        unknown.why = "no answer";
        if (shared_->down || shared_->hits(shared_->faults.unreachable)) {
            co_return unknown;
        }
        if (shared_->hits(shared_->faults.late)) {
            asio::co_spawn(co_await asio::this_coro::executor, apply_later(shared_, next, expected),
                           asio::detached);
            co_return unknown;
        }
        const bool applied = shared_->apply(next, expected);
        const bool lost = shared_->hits(shared_->faults.lost);
        if (lost && shared_->defect != ledger_defect::lost_as_applied) {
            co_return unknown;
        }
        const bool repeated = applied && shared_->hits(shared_->faults.repeated);
        const bool second = repeated ? shared_->apply(next, expected) : applied;
        co_return answer(second || lost);
    }

private:
    static task<void> apply_later(std::shared_ptr<shared_ledger> shared, budget_ledger next,
                                  std::uint64_t expected) {
        co_await sleep_for(std::chrono::milliseconds(20 + shared->random() % 100));
        shared->apply(next, expected);
    }

    ledger_write answer(bool applied) const {
        ledger_write written;
        const bool claims = applied || shared_->defect == ledger_defect::conflict_as_applied;
        written.how = claims ? ledger_write::outcome::applied : ledger_write::outcome::conflict;
        written.now = shared_->stored;
        return written;
    }

    std::shared_ptr<shared_ledger> shared_;
};

} // namespace eelgrassgw

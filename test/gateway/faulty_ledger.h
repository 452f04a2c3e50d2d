#pragma once

/// A ledger store in memory, and a way to it, that lose answers, delay writes, repeat them and go away.

#include "budgets/budget_keeper.h"
#include "budgets/ledger_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace eelgrassgw {

/// What a schedule does to calls, each in percent.
struct ledger_faults {
    unsigned unreachable = 0; ///< The call fails and has no effect.
    unsigned lost = 0;        ///< The call is done, and its answer is lost.
    unsigned late = 0;        ///< The call fails, and is done later if its condition still holds.
    unsigned repeated = 0;    ///< The call arrives a second time right after the first.
};

/// Deliberate faults, to show that the checker finds them.
enum class ledger_defect {
    none,
    store_ignores_revision, ///< Writes are not conditional.
    unknown_as_applied,     ///< A request without an answer counts as applied.
    limit_ignored,          ///< Grants exceed what is prepaid.
    reduction_not_told,     ///< A router believes to have got all that it wanted.
    return_written_twice,   ///< What a router gives back is taken off twice.
    return_applied_again,   ///< A repeated return is taken for a new one.
};

/// The stored document, shared by all routers of a schedule.
struct shared_ledger {
    versioned_ledger stored;
    std::mt19937 random;
    ledger_faults faults;
    ledger_defect defect = ledger_defect::none;
    bool down = false;
    std::chrono::milliseconds slow{0}; ///< Added to each call.
    int writes = 0;
    std::map<std::string, tokens> most_taken; ///< The most that each customer's `taken` ever was.

    bool hits(unsigned percent) { return random() % 100 < percent; }

    bool apply(const budget_ledger& next, std::uint64_t expected) {
        ++writes;
        if (defect != ledger_defect::store_ignores_revision && expected != stored.revision) {
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
        co_await sleep_for(std::chrono::milliseconds(1) + shared_->slow);
        if (shared_->down || shared_->hits(shared_->faults.unreachable)) {
            co_return make_failure(errc::unreachable, "read ledger", "fake", "down");
        }
        co_return shared_->stored;
    }

    task<ledger_write> write(budget_ledger next, std::uint64_t expected) {
        co_await sleep_for(std::chrono::milliseconds(1 + shared_->random() % 3) + shared_->slow);
        ledger_write written;
        written.error = "no answer";
        if (shared_->down || shared_->hits(shared_->faults.unreachable)) {
            co_return written;
        }
        if (shared_->hits(shared_->faults.late)) {
            asio::co_spawn(co_await asio::this_coro::executor, apply_later(shared_, next, expected),
                           asio::detached);
            co_return written;
        }
        const bool applied = shared_->apply(next, expected);
        const bool again = shared_->hits(shared_->faults.repeated) && shared_->apply(next, expected);
        if (shared_->hits(shared_->faults.lost)) {
            co_return written;
        }
        written.status =
            applied || again ? ledger_write::status_kind::applied : ledger_write::status_kind::conflict;
        written.current = shared_->stored;
        co_return written;
    }

private:
    static task<void> apply_later(std::shared_ptr<shared_ledger> shared, budget_ledger next,
                                  std::uint64_t expected) {
        co_await sleep_for(std::chrono::milliseconds(20 + shared->random() % 100));
        shared->apply(next, expected);
    }

    std::shared_ptr<shared_ledger> shared_;
};

using faulty_writer = ledger_writer<faulty_ledger>;

/// Meets `ledger_service`: one router's way to the writers of a schedule, over a network that misbehaves.
class faulty_way {
public:
    faulty_way(std::shared_ptr<shared_ledger> shared, std::vector<std::shared_ptr<faulty_writer>> writers)
        : shared_(std::move(shared)), writers_(std::move(writers)) {}

    task<ledger_outcome> submit(const ledger_request& request) {
        const ledger_request sent = distorted(request);
        ledger_outcome unknown;
        unknown.error = "no answer";
        if (shared_->hits(shared_->faults.unreachable)) {
            co_return told(unknown, sent);
        }
        if (shared_->hits(shared_->faults.late)) {
            asio::co_spawn(co_await asio::this_coro::executor, submit_later(shared_, any_writer(), sent),
                           asio::detached);
            co_return told(unknown, sent);
        }
        const std::shared_ptr<faulty_writer> writer = any_writer();
        ledger_outcome outcome = co_await writer->submit(sent);
        if (shared_->hits(shared_->faults.repeated)) {
            const ledger_request again = repeated(sent);
            const std::shared_ptr<faulty_writer> other = any_writer();
            outcome = co_await other->submit(again);
        }
        co_return told(shared_->hits(shared_->faults.lost) ? unknown : outcome, sent);
    }

private:
    static task<void> submit_later(std::shared_ptr<shared_ledger> shared,
                                   std::shared_ptr<faulty_writer> writer, ledger_request request) {
        co_await sleep_for(std::chrono::milliseconds(20 + shared->random() % 100));
        (void)co_await writer->submit(request);
    }

    std::shared_ptr<faulty_writer> any_writer() { return writers_[shared_->random() % writers_.size()]; }

    /// What arrives of a request.
    ledger_request distorted(ledger_request request) const {
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

    ledger_request repeated(ledger_request request) const {
        const bool returns = std::any_of(request.changes.begin(), request.changes.end(),
                                         [](const auto& each) { return each.second.amount < 0; });
        if (shared_->defect == ledger_defect::return_applied_again && returns) {
            request.previous = shared_->stored.ledger.last_write(request.router).sequence;
        }
        return request;
    }

    /// What the router is told of an outcome.
    ledger_outcome told(ledger_outcome outcome, const ledger_request& request) const {
        if (shared_->defect == ledger_defect::unknown_as_applied && request.writes() &&
            outcome.status == ledger_outcome::status_kind::unknown) {
            outcome.status = ledger_outcome::status_kind::applied;
            outcome.current = shared_->stored;
            outcome.current.ledger.writers[request.router].sequence = request.sequence;
        }
        if (shared_->defect == ledger_defect::reduction_not_told) {
            outcome.current.ledger.writers[request.router].reduced.clear();
        }
        return outcome;
    }

    std::shared_ptr<shared_ledger> shared_;
    std::vector<std::shared_ptr<faulty_writer>> writers_;
};

} // namespace eelgrassgw

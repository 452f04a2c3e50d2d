#pragma once

/// Keeps one router's allowances filled from the shared ledger.

#include "base/event_sink.h"
#include "budgets/allowance_table.h"
#include "budgets/budget_view.h"
#include "budgets/ledger_request.h"
#include "net/task.h"
#include "routes/fleet_configuration.h"

#include <algorithm>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// One round at a time asks the ledger; requests that find too little wait for the next round's end.
/// Safety rests on the ledger's conditional writes alone: a grant counts when its write is known to have been
/// applied, and a return leaves the allowance before it is written. Not thread-safe: all tasks run on one
/// thread.
template <ledger_service Ledger>
class budget_keeper {
public:
    using clock = std::chrono::steady_clock;

    static constexpr std::chrono::milliseconds shortest_pause{
        60}; ///< Between rounds without waiting requests.
    static constexpr std::chrono::milliseconds fresh_enough{150}; ///< Age up to which "exhausted" is final.
    static constexpr std::chrono::milliseconds retry_pause{150};  ///< After a round that failed.
    static constexpr std::chrono::seconds presence_interval{4};   ///< Between writes of an idle router.
    static constexpr std::chrono::milliseconds presence_window{
        10000};                             ///< Routers that wrote then count as there.
    static constexpr int most_requests = 4; ///< To the ledger, in one round.

    /// Precondition: `ledger` outlives this object.
    budget_keeper(asio::io_context& context, Ledger& ledger, ledger_identity self,
                  const allowance_policy& policy, event_sink_function log)
        : context_(context), ledger_(ledger), self_(std::move(self)), allowances_(policy),
          log_(std::move(log)), wake_(context, clock::time_point::max()) {}

    /// The newest configuration, which states what is prepaid.
    void use(std::shared_ptr<const fleet_configuration> configuration) {
        configuration_ = std::move(configuration);
        wake();
    }

    void set_policy(const allowance_policy& policy) { allowances_.set_policy(policy); }

    /// Sets `amount` aside; waits at most `patience` for the ledger.
    task<reservation_verdict> reserve(std::string customer, tokens amount,
                                      std::chrono::milliseconds patience);

    /// Ends a reservation; what was not used is available at once.
    void settle(const std::string& customer, tokens reserved, tokens used) {
        allowances_.settle(customer, reserved, used);
        serve_waiting(false);
    }

    /// Keeps the allowances filled until `stop`. Run once.
    task<void> run();

    /// Gives back all that is available, and takes nothing more. False where the store did not confirm it.
    task<bool> give_back();

    budget_view view(const std::string& customer) const;

    /// Routers that lately wrote to the ledger, at least 1.
    int routers() const {
        return std::max(1, static_cast<int>(known_.ledger.recent_writers(presence_window).size()));
    }

    /// Where those of them that are not this one take datagrams.
    std::vector<std::string> other_routers() const;

private:
    struct waiting_request {
        std::string customer;
        tokens amount = 0;
        std::optional<reservation_verdict> verdict;
        asio::steady_timer woken;
    };
    struct open_write {
        std::uint64_t sequence = 0;
        std::map<std::string, wanted_tokens> changes;
    };

    void wake() {
        wake_requested_ = true;
        wake_.cancel();
    }
    bool ledger_is_fresh() const { return known_.revision != 0 && clock::now() - known_at_ <= fresh_enough; }
    tokens unspent(const std::string& customer) const;
    struct planned_changes {
        std::map<std::string, wanted_tokens> amounts;
        bool is_due = false;
    };
    planned_changes plan() const;
    tokens prepaid_of(const std::string& customer) const;

    /// What an allowance must bridge: a write may just have begun.
    std::chrono::milliseconds covered_time() const { return 2 * round_time_; }
    bool must_show_presence() const { return clock::now() - written_at_ >= presence_interval; }
    task<bool> round();
    task<bool> look();
    task<bool> write(const planned_changes& changes);
    task<bool> submit(const ledger_request& request);
    void resolve_open_writes(const budget_ledger::writer& last);
    void withdraw_returns(const open_write& of);
    void restore_returns(const open_write& of);
    void credit_grants(const open_write& of, const budget_ledger::writer& last);
    void serve_waiting(bool after_round);
    void fail_waiting();
    void finish(waiting_request& of, reservation_verdict verdict);
    bool anyone_waits() const { return !waiting_.empty(); }

    asio::io_context& context_;
    Ledger& ledger_;
    ledger_identity self_;
    allowance_table allowances_;
    event_sink_function log_;
    std::shared_ptr<const fleet_configuration> configuration_;
    versioned_ledger known_;
    clock::time_point known_at_{};
    clock::time_point written_at_{};
    std::chrono::milliseconds round_time_{0}; ///< How long the last grant took, with all conflicts.
    std::uint64_t sequence_ = 0;              ///< Of the newest write.
    std::uint64_t confirmed_ = 0;             ///< Of the last write that is known to be in the ledger.
    std::vector<open_write> open_;            ///< Later writes, of which the ledger takes one at most.
    bool store_away_ = false;
    bool stopped_ = false;
    bool in_round_ = false;
    bool wake_requested_ = false;
    asio::steady_timer wake_;
    std::list<std::shared_ptr<waiting_request>> waiting_;
};

template <ledger_service Ledger>
task<reservation_verdict> budget_keeper<Ledger>::reserve(std::string customer, tokens amount,
                                                         std::chrono::milliseconds patience) {
    const auto now = clock::now();
    allowances_.note_demand(customer, amount, now);
    if (allowances_.reserve(customer, amount)) {
        if (allowances_.runs_low(customer, covered_time(), now)) {
            wake();
        }
        co_return reservation_verdict::reserved;
    }
    if (ledger_is_fresh() && allowances_.available(customer) + unspent(customer) < amount) {
        co_return reservation_verdict::exhausted;
    }
    if (store_away_ || stopped_) {
        wake();
        co_return reservation_verdict::unknown;
    }
    auto own = std::make_shared<waiting_request>(
        waiting_request{customer, amount, std::nullopt, asio::steady_timer(context_, patience)});
    waiting_.push_back(own);
    allowances_.note_waiting(customer, amount);
    wake();
    net_error ec;
    co_await own->woken.async_wait(with_error(ec));
    if (!own->verdict.has_value()) {
        finish(*own, reservation_verdict::unknown);
        waiting_.remove(own);
    }
    co_return *own->verdict;
}

template <ledger_service Ledger>
task<void> budget_keeper<Ledger>::run() {
    while (!stopped_) {
        if (!wake_requested_) {
            wake_.expires_after(presence_interval);
            net_error ec;
            co_await wake_.async_wait(with_error(ec));
        }
        wake_requested_ = false;
        if (stopped_ || configuration_ == nullptr) {
            continue;
        }
        in_round_ = true;
        const bool done = co_await round();
        in_round_ = false;
        if (store_away_ == done) {
            store_away_ = !done;
            log_(done ? "ledger_regained" : "ledger_lost", Json::Value(Json::objectValue));
        }
        if (!done) {
            fail_waiting();
            wake_requested_ = true;
            co_await sleep_for(retry_pause);
        } else if (!anyone_waits()) {
            co_await sleep_for(shortest_pause);
        }
    }
}

/// Reserves for those that fit now. After a round with a fresh ledger, the others learn that nothing is left.
template <ledger_service Ledger>
void budget_keeper<Ledger>::serve_waiting(bool after_round) {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        waiting_request& of = **it;
        if (allowances_.reserve(of.customer, of.amount)) {
            finish(of, reservation_verdict::reserved);
            it = waiting_.erase(it);
        } else if (after_round && allowances_.available(of.customer) + unspent(of.customer) < of.amount) {
            finish(of, reservation_verdict::exhausted);
            it = waiting_.erase(it);
        } else {
            ++it;
        }
    }
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::fail_waiting() {
    for (const auto& each : waiting_) {
        finish(*each, reservation_verdict::unknown);
    }
    waiting_.clear();
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::finish(waiting_request& of, reservation_verdict verdict) {
    of.verdict = verdict;
    allowances_.note_waiting(of.customer, -of.amount);
    of.woken.cancel();
}

template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::give_back() {
    stopped_ = true;
    wake();
    while (in_round_) {
        co_await sleep_for(std::chrono::milliseconds(10));
    }
    co_return configuration_ == nullptr || co_await round();
}

template <ledger_service Ledger>
std::vector<std::string> budget_keeper<Ledger>::other_routers() const {
    std::vector<std::string> addresses;
    for (const auto& [router, writer] : known_.ledger.recent_writers(presence_window)) {
        if (router != self_.router && !writer.address.empty()) {
            addresses.push_back(writer.address);
        }
    }
    return addresses;
}

template <ledger_service Ledger>
budget_view budget_keeper<Ledger>::view(const std::string& customer) const {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - known_at_);
    return {known_.revision, age, unspent(customer), allowances_.available(customer)};
}

} // namespace eelgrassgw

#include "budgets/internal/budget_round.h"

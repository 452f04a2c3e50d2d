#pragma once

/// Keeps one router's allowances filled from the shared ledger.

#include "base/event_sink.h"
#include "budgets/allowance_table.h"
#include "budgets/budget_view.h"
#include "budgets/ledger_store.h"
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
/// Safety rests on the conditional writes alone: a grant counts when its write is known to have been applied,
/// and a return leaves the allowance before it is written. Not thread-safe: all tasks run on one thread.
template <ledger_store Store>
class budget_keeper {
public:
    using clock = std::chrono::steady_clock;

    static constexpr std::chrono::milliseconds shortest_pause{
        60}; ///< Between rounds without waiting requests.
    static constexpr std::chrono::milliseconds fresh_enough{150}; ///< Age up to which "exhausted" is final.
    static constexpr std::chrono::milliseconds retry_pause{150};  ///< After a round that failed.
    static constexpr std::chrono::seconds presence_interval{4};   ///< Between writes of an idle router.
    static constexpr std::chrono::milliseconds presence_window{
        10000};                              ///< Routers that wrote then count as there.
    static constexpr int most_conflicts = 8; ///< In one round.

    budget_keeper(asio::io_context& context, Store store, ledger_identity self,
                  const allowance_policy& policy, event_sink_function log)
        : context_(context), store_(std::move(store)), self_(std::move(self)), allowances_(policy),
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
        std::map<std::string, tokens> changes;
    };

    void wake() {
        wake_requested_ = true;
        wake_.cancel();
    }
    bool ledger_is_fresh() const { return known_.revision != 0 && clock::now() - known_at_ <= fresh_enough; }
    tokens unspent(const std::string& customer) const;
    void take_in(const versioned_ledger& now);
    struct planned_changes {
        std::map<std::string, tokens> amounts;
        bool is_due = false;
    };
    planned_changes plan() const;
    task<bool> round();
    task<bool> read_ledger();
    task<ledger_write> write_changes(const std::map<std::string, tokens>& changes);
    void credit(const std::map<std::string, tokens>& changes);
    void withdraw_returns(const std::map<std::string, tokens>& changes);
    void restore_returns(const std::map<std::string, tokens>& changes);
    void serve_waiting(bool after_round);
    void fail_waiting();
    void finish(waiting_request& of, reservation_verdict verdict);
    bool anyone_waits() const { return !waiting_.empty(); }

    asio::io_context& context_;
    Store store_;
    ledger_identity self_;
    allowance_table allowances_;
    event_sink_function log_;
    std::shared_ptr<const fleet_configuration> configuration_;
    versioned_ledger known_;
    clock::time_point known_at_{};
    clock::time_point written_at_{};
    std::chrono::milliseconds round_time_{0}; ///< How long the last grant took, with all conflicts.
    std::uint64_t sequence_ = 0;
    std::optional<open_write> open_; ///< A write whose outcome is not known.
    bool store_away_ = false;
    bool stopped_ = false;
    bool in_round_ = false;
    bool wake_requested_ = false;
    asio::steady_timer wake_;
    std::list<std::shared_ptr<waiting_request>> waiting_;
};

template <ledger_store Store>
task<reservation_verdict> budget_keeper<Store>::reserve(std::string customer, tokens amount,
                                                        std::chrono::milliseconds patience) {
    const auto now = clock::now();
    allowances_.note_demand(customer, amount, now);
    if (allowances_.reserve(customer, amount)) {
        if (allowances_.runs_low(customer, now)) {
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

template <ledger_store Store>
task<void> budget_keeper<Store>::run() {
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

/// Brings allowances and ledger to what is wanted, through as many conflicts as it takes, up to a bound.
template <ledger_store Store>
task<bool> budget_keeper<Store>::round() {
    const bool hopeless = anyone_waits() && !plan().is_due; // By the known ledger; a newer one may say more.
    if (known_.revision == 0 || open_.has_value() || hopeless) {
        if (!co_await read_ledger()) {
            co_return false;
        }
    }
    const auto begun = clock::now();
    for (int i = 0; i < most_conflicts; ++i) {
        const planned_changes changes = plan();
        const bool must_show = known_.revision == 0 || clock::now() - written_at_ >= presence_interval;
        if (!changes.is_due && !must_show) {
            serve_waiting(true);
            co_return true;
        }
        const ledger_write written = co_await write_changes(changes.amounts);
        if (written.how == ledger_write::outcome::unknown) {
            co_return false;
        }
        take_in(written.now);
        if (written.how == ledger_write::outcome::applied) {
            round_time_ = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begun);
            serve_waiting(true);
            co_return true;
        }
    }
    wake();
    co_return true;
}

template <ledger_store Store>
task<bool> budget_keeper<Store>::read_ledger() {
    result<versioned_ledger> read = co_await store_.read();
    if (!read) {
        Json::Value fields;
        fields["error"] = read.error().text();
        log_("ledger_read_failed", std::move(fields));
        co_return false;
    }
    take_in(read.value());
    co_return true;
}

/// Writes the changes against the known revision and accounts for the outcome.
template <ledger_store Store>
task<ledger_write> budget_keeper<Store>::write_changes(const std::map<std::string, tokens>& changes) {
    budget_ledger next = known_.ledger;
    for (const auto& [customer, amount] : changes) {
        next.taken[customer] += amount;
    }
    const std::uint64_t sequence = ++sequence_;
    const auto unix_time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    next.note_write(self_.router, {sequence, unix_time.count(), self_.notice_address});
    withdraw_returns(changes);
    ledger_write written = co_await store_.write(next, known_.revision);
    const bool found = written.how == ledger_write::outcome::conflict &&
                       written.now.ledger.has_write(self_.router, sequence);
    if (found) {
        written.how = ledger_write::outcome::applied; // An earlier copy of this very write was first.
    }
    Json::Value fields;
    if (written.how == ledger_write::outcome::applied) {
        open_.reset(); // Its condition cannot hold any more.
        written_at_ = clock::now();
        credit(changes);
    } else if (written.how == ledger_write::outcome::conflict) {
        restore_returns(changes);
    } else {
        open_ = open_write{sequence, changes};
        fields["error"] = written.why;
        fields["sequence"] = Json::UInt64(sequence);
        log_("ledger_write_unknown", std::move(fields));
    }
    co_return written;
}

/// Accepts a version of the ledger, and learns from it what became of an open write.
template <ledger_store Store>
void budget_keeper<Store>::take_in(const versioned_ledger& now) {
    if (open_.has_value() && now.ledger.has_write(self_.router, open_->sequence)) {
        credit(open_->changes);
        open_.reset();
    }
    if (now.revision >= known_.revision) {
        known_ = now;
        known_at_ = clock::now();
    }
}

template <ledger_store Store>
typename budget_keeper<Store>::planned_changes budget_keeper<Store>::plan() const {
    planned_changes changes;
    const auto now = clock::now();
    for (const auto& [customer, available] : allowances_.all_available()) {
        const allowance_change change = stopped_ ? allowance_change{-available, true}
                                                 : allowances_.wanted_change(customer, unspent(customer),
                                                                             routers(), 2 * round_time_, now);
        if (change.amount != 0) {
            changes.amounts[customer] = change.amount;
            changes.is_due = changes.is_due || change.is_due;
        }
    }
    return changes;
}

template <ledger_store Store>
tokens budget_keeper<Store>::unspent(const std::string& customer) const {
    const auto* of = configuration_ == nullptr ? nullptr : configuration_->find_customer(customer);
    if (of == nullptr || !of->prepaid.has_value()) {
        return 0;
    }
    return *of->prepaid - known_.ledger.taken_by_all(customer);
}

template <ledger_store Store>
void budget_keeper<Store>::credit(const std::map<std::string, tokens>& changes) {
    for (const auto& [customer, amount] : changes) {
        if (amount > 0) {
            allowances_.add(customer, amount);
        }
    }
}

template <ledger_store Store>
void budget_keeper<Store>::withdraw_returns(const std::map<std::string, tokens>& changes) {
    for (const auto& [customer, amount] : changes) {
        if (amount < 0) {
            allowances_.add(customer, amount);
        }
    }
}

template <ledger_store Store>
void budget_keeper<Store>::restore_returns(const std::map<std::string, tokens>& changes) {
    for (const auto& [customer, amount] : changes) {
        if (amount < 0) {
            allowances_.add(customer, -amount);
        }
    }
}

/// Reserves for those that fit now. After a round with a fresh ledger, the others learn that nothing is left.
template <ledger_store Store>
void budget_keeper<Store>::serve_waiting(bool after_round) {
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

template <ledger_store Store>
void budget_keeper<Store>::fail_waiting() {
    for (const auto& each : waiting_) {
        finish(*each, reservation_verdict::unknown);
    }
    waiting_.clear();
}

template <ledger_store Store>
void budget_keeper<Store>::finish(waiting_request& of, reservation_verdict verdict) {
    of.verdict = verdict;
    allowances_.note_waiting(of.customer, -of.amount);
    of.woken.cancel();
}

template <ledger_store Store>
task<bool> budget_keeper<Store>::give_back() {
    stopped_ = true;
    wake();
    while (in_round_) {
        co_await sleep_for(std::chrono::milliseconds(10));
    }
    co_return configuration_ == nullptr || co_await round();
}

template <ledger_store Store>
std::vector<std::string> budget_keeper<Store>::other_routers() const {
    std::vector<std::string> addresses;
    for (const auto& [router, writer] : known_.ledger.recent_writers(presence_window)) {
        if (router != self_.router && !writer.address.empty()) {
            addresses.push_back(writer.address);
        }
    }
    return addresses;
}

template <ledger_store Store>
budget_view budget_keeper<Store>::view(const std::string& customer) const {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - known_at_);
    return {known_.revision, age, unspent(customer), allowances_.available(customer)};
}

} // namespace eelgrassgw

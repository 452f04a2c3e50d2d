#pragma once

/// Keeps one router's allowances filled from the shared ledger.

#include "base/event_sink.h"
#include "budgets/allowance_table.h"
#include "budgets/budget_view.h"
#include "budgets/fleet_membership.h"
#include "budgets/ledger_request.h"
#include "budgets/write_history.h"
#include "net/notification.h"
#include "retries/backoff.h"
#include "routes/fleet_configuration.h"

#include <algorithm>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Reserves tokens of this router's allowances for requests and refills the allowances from the ledger. The
/// keeper contacts the ledger in rounds, one at a time; a request that finds too few tokens waits for the end
/// of the next round. Correctness depends only on the ledger's conditional writes: granted tokens are added
/// to an allowance once their write is known to have been applied, and returned tokens are removed from it
/// before their write is sent. Not thread-safe: all tasks run on one thread.
template <ledger_service Ledger>
class budget_keeper {
public:
    using clock = std::chrono::steady_clock;

    /// Pause after a successful round if no request waits.
    static constexpr std::chrono::milliseconds pause_between_rounds{60};

    /// Age up to which the known ledger suffices to reject a request as exhausted.
    static constexpr std::chrono::milliseconds max_ledger_age{150};

    /// Pause after the first failed round.
    static constexpr std::chrono::milliseconds initial_retry_delay{150};

    /// Upper bound of that pause, which doubles with each further failure.
    static constexpr std::chrono::milliseconds max_retry_delay{600};

    /// Interval at which an idle router writes to the ledger, so that other routers keep counting it.
    static constexpr std::chrono::seconds idle_write_interval{4};

    /// Interval of writes while the ledger recovers from a restore of the store.
    static constexpr std::chrono::seconds recovery_write_interval{1};

    /// Maximum number of requests to the ledger in one round.
    static constexpr int max_requests_per_round = 4;

    /// Creates a keeper with empty allowances. Precondition: `ledger` outlives this object.
    budget_keeper(asio::io_context& context, Ledger& ledger, ledger_identity identity,
                  const allowance_policy& policy, event_sink_function log)
        : context_(context), ledger_(ledger), identity_(std::move(identity)), allowances_(policy),
          log_(std::move(log)), round_wanted_(context.get_executor()) {}

    /// Sets the newest configuration, which states the customers' prepaid tokens.
    void set_configuration(std::shared_ptr<const fleet_configuration> configuration) {
        configuration_ = std::move(configuration);
        wake();
    }

    void set_policy(const allowance_policy& policy) { allowances_.set_policy(policy); }

    /// Reserves `amount` for a request, waiting at most `timeout` for the ledger.
    task<reservation_verdict> reserve(std::string customer, tokens amount, std::chrono::milliseconds timeout);

    /// Ends a reservation and makes its unused tokens available immediately.
    void settle(const std::string& customer, tokens reserved, tokens used) {
        allowances_.settle(customer, reserved, used);
        serve_waiting_requests(false);
    }

    /// Records that the caller of a running request has been sent an answer for `amount` of its reserved
    /// tokens. A negative amount takes that back; it must be taken back before the reservation is settled.
    void add_consumed_tokens(const std::string& customer, tokens amount) {
        allowances_.add_consumed_tokens(customer, amount);
    }

    /// Refills the allowances until `return_allowances` is called. Must be called only once.
    task<void> run();

    /// Stops refilling and returns all available tokens to the ledger. Returns false if the ledger did not
    /// confirm the return.
    task<bool> return_allowances();

    /// Checks the ledger at once, because the store was restored from a copy and may have forgotten writes.
    void check_restored_ledger() {
        must_read_ledger_ = true;
        wake();
    }

    /// Returns what became of the tokens that this router has taken from the ledger.
    held_tokens held() const { return allowances_.total(); }

    /// Returns what this router knows of the customer's budget.
    budget_view view(const std::string& customer) const;

    /// Returns for how long the ledger has been unavailable; zero if it is available.
    std::chrono::milliseconds outage() const {
        const auto now = clock::now();
        return ledger_unavailable_
                   ? std::chrono::duration_cast<std::chrono::milliseconds>(now - unavailable_since_)
                   : std::chrono::milliseconds(0);
    }

    /// Returns the number of routers that wrote to the ledger recently, at least 1.
    int router_count() const {
        return std::max(1,
                        static_cast<int>(
                            known_ledger_.ledger.recent_writers(budget_ledger::active_router_window).size()));
    }

    /// Returns the routers that the known ledger lists.
    fleet_membership membership() const {
        return {identity_.router,           routers_that_may_run(known_ledger_.ledger),
                known_ledger_.position.era, known_ledger_asked_at_,
                last_write_began_at_,       known_ledger_.position.revision != 0 && !ledger_is_recovering()};
    }

    /// Has the ledger read soon if it is known only from a call that began longer than `max_age` ago.
    void refresh_ledger(std::chrono::milliseconds max_age) {
        if (clock::now() - known_ledger_asked_at_ > max_age) {
            must_read_ledger_ = true;
            wake();
        }
    }

    /// Returns the datagram addresses of the other routers that wrote to the ledger recently.
    std::vector<std::string> other_router_addresses() const;

private:
    /// A request that waits for tokens.
    struct waiting_request {
        std::string customer;
        tokens amount = 0;
        std::optional<reservation_verdict> verdict; ///< Result of the reservation; empty while it is pending.
        notification decided;                       ///< Wakes the task that waits for the verdict.
    };

    /// A write to the ledger that is not known to have been applied or refused.
    struct unconfirmed_write {
        std::uint64_t sequence = 0;
        std::map<std::string, wanted_tokens> changes;
        bool is_restoration = false; ///< Whether the changes were applied and credited before.
    };

    void wake() { round_wanted_.notify(); }
    bool ledger_is_fresh() const {
        return known_ledger_.position.revision != 0 && clock::now() - known_ledger_at_ <= max_ledger_age;
    }

    /// Returns the customer's prepaid tokens that no router has taken; negative after a reduction of the
    /// prepaid tokens.
    tokens unspent(const std::string& customer) const;

    /// The changes that the next write to the ledger should contain.
    struct planned_changes {
        std::map<std::string, wanted_tokens> amounts; ///< Changes by customer.
        bool is_due = false;                          ///< Whether one of the changes justifies a write.
    };

    planned_changes plan_changes() const;
    tokens prepaid_of(const std::string& customer) const;

    /// Returns the time that a refill may take: it may have to wait for a write that has just begun.
    std::chrono::milliseconds refill_duration() const { return 2 * last_write_duration_; }
    bool idle_write_is_due() const {
        const auto interval = ledger_is_recovering() ? recovery_write_interval : idle_write_interval;
        return clock::now() - last_write_at_ >= interval || confirmed_era_ < known_ledger_.position.era;
    }
    /// Returns whether no tokens are granted because the store was restored from a copy.
    bool ledger_is_recovering() const {
        return known_ledger_.ledger.is_recovering ||
               known_ledger_.ledger.is_from_copy(known_ledger_.position.era);
    }
    task<bool> run_round();
    task<bool> read_ledger();
    task<bool> write_changes(const planned_changes& changes);
    task<bool> write_forgotten_changes();
    ledger_request make_write_request() const;
    void note_ledger(const versioned_ledger& received);
    void note_routers_seen();
    task<bool> submit(const ledger_request& request);
    void resolve_unconfirmed_writes(const budget_ledger::writer& last);
    void withdraw_returns(const unconfirmed_write& write);
    void restore_returns(const unconfirmed_write& write);
    void credit_grants(const unconfirmed_write& write, const budget_ledger::writer& last);
    void serve_waiting_requests(bool after_ledger_update);
    void fail_waiting_requests();
    void finish(waiting_request& request, reservation_verdict verdict);
    bool has_waiting_requests() const { return !waiting_requests_.empty(); }

    asio::io_context& context_;
    Ledger& ledger_;
    ledger_identity identity_;
    allowance_table allowances_;
    event_sink_function log_;
    std::shared_ptr<const fleet_configuration> configuration_;
    versioned_ledger known_ledger_;             ///< Newest ledger that this router has received.
    clock::time_point known_ledger_at_{};       ///< Time at which `known_ledger_` was received.
    clock::time_point known_ledger_asked_at_{}; ///< Time at which the call began that returned it.
    clock::time_point last_write_began_at_{};   ///< Time at which the last applied write began.
    clock::time_point last_write_at_{};         ///< Time at which the last applied write was confirmed.
    std::chrono::milliseconds last_write_duration_{0}; ///< Duration of the last write, with its conflicts.
    std::uint64_t last_sequence_ = 0;                  ///< Sequence number of the newest write.
    std::uint64_t confirmed_sequence_ = 0; ///< Sequence number of the last write known to be in the ledger.
    std::uint64_t confirmed_era_ = 0;      ///< Era in which that write was last known to be in the ledger.
    std::vector<unconfirmed_write> unconfirmed_writes_; ///< Later writes; at most one is applied.
    write_history applied_writes_;
    bool has_forgotten_writes_ = false;     ///< Whether the ledger lacks writes that were applied before.
    std::set<std::string> routers_seen_;    ///< Routers that were active before the store was restored.
    bool must_read_ledger_ = false;         ///< Whether the next round reads the ledger in any case.
    bool ledger_unavailable_ = false;       ///< Whether the last round failed.
    clock::time_point unavailable_since_{}; ///< Time of the last change of that.
    backoff backoff_{initial_retry_delay, max_retry_delay};
    bool stopped_ = false;      ///< Whether `return_allowances` has been called.
    bool in_round_ = false;     ///< Whether a round is in progress.
    notification round_wanted_; ///< Wakes the task that runs the rounds.
    std::list<std::shared_ptr<waiting_request>> waiting_requests_;
};

template <ledger_service Ledger>
task<reservation_verdict> budget_keeper<Ledger>::reserve(std::string customer, tokens amount,
                                                         std::chrono::milliseconds timeout) {
    const auto now = clock::now();
    allowances_.record_demand(customer, amount, now);
    if (allowances_.reserve(customer, amount)) {
        if (allowances_.runs_low(customer, refill_duration(), now)) {
            wake();
        }
        co_return reservation_verdict::reserved;
    }
    if (ledger_is_fresh() && !ledger_is_recovering() &&
        allowances_.available(customer) + unspent(customer) < amount) {
        co_return reservation_verdict::exhausted;
    }
    if (ledger_unavailable_ || stopped_) {
        wake();
        co_return reservation_verdict::unknown;
    }
    auto request = std::make_shared<waiting_request>(
        waiting_request{customer, amount, std::nullopt, notification(context_.get_executor())});
    waiting_requests_.push_back(request);
    allowances_.add_waiting_tokens(customer, amount);
    wake();
    (void)co_await request->decided.wait_until(now + timeout);
    if (!request->verdict.has_value()) {
        finish(*request, reservation_verdict::unknown);
        waiting_requests_.remove(request);
    }
    co_return *request->verdict;
}

template <ledger_service Ledger>
task<void> budget_keeper<Ledger>::run() {
    while (!stopped_) {
        (void)co_await round_wanted_.wait_until(clock::now() + idle_write_interval);
        if (stopped_ || configuration_ == nullptr) {
            continue;
        }
        in_round_ = true;
        const bool succeeded = co_await run_round();
        in_round_ = false;
        if (ledger_unavailable_ == succeeded) {
            ledger_unavailable_ = !succeeded;
            unavailable_since_ = clock::now();
            log_(succeeded ? "ledger_regained" : "ledger_lost", Json::Value(Json::objectValue));
        }
        if (!succeeded) {
            fail_waiting_requests();
            wake();
            co_await sleep_for(backoff_.next_delay());
            continue;
        }
        backoff_.reset();
        if (!has_waiting_requests()) {
            co_await sleep_for(pause_between_rounds);
        }
    }
}

/// Reserves tokens for the waiting requests that the allowances can cover. After an update of the known
/// ledger, rejects those that the budget can no longer cover.
template <ledger_service Ledger>
void budget_keeper<Ledger>::serve_waiting_requests(bool after_ledger_update) {
    for (auto it = waiting_requests_.begin(); it != waiting_requests_.end();) {
        waiting_request& request = **it;
        if (allowances_.reserve(request.customer, request.amount)) {
            finish(request, reservation_verdict::reserved);
            it = waiting_requests_.erase(it);
        } else if (after_ledger_update && !ledger_is_recovering() &&
                   allowances_.available(request.customer) + unspent(request.customer) < request.amount) {
            finish(request, reservation_verdict::exhausted);
            it = waiting_requests_.erase(it);
        } else {
            ++it;
        }
    }
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::fail_waiting_requests() {
    for (const auto& each : waiting_requests_) {
        finish(*each, reservation_verdict::unknown);
    }
    waiting_requests_.clear();
}

template <ledger_service Ledger>
void budget_keeper<Ledger>::finish(waiting_request& request, reservation_verdict verdict) {
    request.verdict = verdict;
    allowances_.add_waiting_tokens(request.customer, -request.amount);
    request.decided.notify();
}

template <ledger_service Ledger>
task<bool> budget_keeper<Ledger>::return_allowances() {
    stopped_ = true;
    wake();
    while (in_round_) {
        co_await sleep_for(std::chrono::milliseconds(10));
    }
    co_return configuration_ == nullptr || co_await run_round();
}

template <ledger_service Ledger>
std::vector<std::string> budget_keeper<Ledger>::other_router_addresses() const {
    std::vector<std::string> addresses;
    for (const auto& [router, writer] :
         known_ledger_.ledger.recent_writers(budget_ledger::active_router_window)) {
        if (router != identity_.router && !writer.address.empty()) {
            addresses.push_back(writer.address);
        }
    }
    return addresses;
}

template <ledger_service Ledger>
budget_view budget_keeper<Ledger>::view(const std::string& customer) const {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - known_ledger_at_);
    return {known_ledger_.position.revision, age, unspent(customer), allowances_.available(customer)};
}

} // namespace eelgrassgw

#include "budgets/internal/budget_round.h"

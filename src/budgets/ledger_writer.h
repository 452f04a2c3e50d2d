#pragma once

/// Applies the requests of any number of routers to the ledger, batching them into conditional writes.

#include "base/event_sink.h"
#include "budgets/ledger_request.h"
#include "net/notification.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Implements `ledger_service`. A writer keeps no state that must survive a crash, and any number of writers
/// may run concurrently: a writer's copy of the ledger is only a cache, which the store validates in each
/// conditional write. Not thread-safe: all tasks run on one thread.
///
/// Requests are batched because many routers write to one document: if each request were written separately,
/// most writes would end in a conflict.
template <ledger_store Store>
class ledger_writer {
public:
    using clock = std::chrono::steady_clock;

    /// Time to collect a batch if none of its requests is urgent.
    static constexpr std::chrono::milliseconds batch_delay{50};

    /// Minimum time between the end of a batch and the next one, even if a request is urgent.
    static constexpr std::chrono::milliseconds min_batch_interval{20};

    /// Age up to which the cached ledger answers requests that only read.
    static constexpr std::chrono::milliseconds max_cache_age{40};

    /// Longest time that `submit` waits for the outcome of a request.
    static constexpr std::chrono::milliseconds request_timeout{450};

    /// How long grants stop after the store was restored from a copy.
    struct recovery_times {
        /// Time in which also a router that the copy does not know notices the restore and writes.
        std::chrono::milliseconds minimum{2500};
        /// Time after which the tokens of routers that did not write are withheld.
        std::chrono::milliseconds maximum{10000};
    };

    /// Maximum number of calls to the store for one batch; each call may end in a conflict.
    static constexpr int max_calls_per_batch = 8;

    /// Maximum number of waiting requests; the outcome of further ones is unknown.
    static constexpr std::size_t max_waiting_requests = 1024;

    /// Creates a writer that has not read the ledger yet.
    ledger_writer(asio::io_context& context, Store store, event_sink_function log)
        : ledger_writer(context, std::move(store), std::move(log), recovery_times{}) {}
    /// Creates a writer with other recovery times, for tests.
    ledger_writer(asio::io_context& context, Store store, event_sink_function log,
                  const recovery_times& recovery)
        : context_(context), store_(std::move(store)), log_(std::move(log)), recovery_(recovery),
          batch_changed_(context.get_executor()) {}

    /// Submits a request and returns its outcome, or an unknown one after `request_timeout`. Precondition:
    /// this object outlives the task.
    task<ledger_outcome> submit(const ledger_request& request);

private:
    /// A submitted request that waits for its outcome.
    struct pending_request {
        ledger_request request;
        std::optional<ledger_outcome> outcome; ///< Outcome of the request; empty while it is pending.
        notification completed;                ///< Wakes the task that waits for the outcome.
    };
    using batch = std::vector<std::shared_ptr<pending_request>>;

    task<void> process_batches();
    task<void> collect_batch();
    bool has_urgent_request() const;
    task<void> process_batch(batch requests);
    task<bool> read_ledger();
    task<bool> write_batch(const batch& requests);
    bool cache_suffices(const batch& requests) const;
    budget_ledger ledger_with_changes(const batch& requests);
    void advance_recovery(budget_ledger& next);
    void log_recovery(const char* event, const budget_ledger& ledger);
    void accept(versioned_ledger received);
    /// Returns whether the request applies to the cached ledger.
    bool applies(const ledger_request& request) const {
        return cached_.ledger.last_write(request.router).sequence == request.previous;
    }
    void finish(const batch& requests, ledger_outcome::status_kind how, const std::string& why);

    /// Returns the outcome of a request that left the ledger in the state `now`.
    static ledger_outcome::status_kind kind_of(const ledger_request& request, const budget_ledger& now) {
        const bool contains = now.last_write(request.router).sequence == request.sequence;
        return contains || !request.writes() ? ledger_outcome::status_kind::applied
                                             : ledger_outcome::status_kind::refused;
    }

    asio::io_context& context_;
    Store store_;
    event_sink_function log_;
    recovery_times recovery_;
    clock::time_point recovery_seen_at_{}; ///< Time at which this writer first saw the current recovery.
    std::uint64_t recovery_era_ = 0;       ///< Era of the recovery that was seen at that time.
    std::uint64_t newest_era_ = 0;         ///< Newest era of the store that a reply stated.
    bool has_seen_ledger_ = false;         ///< Whether the last reply contained a ledger.
    bool lost_ledger_ = false;      ///< Whether a restored store has no ledger although there was one before.
    versioned_ledger cached_;       ///< Ledger as this writer last received it; revision 0 if none.
    clock::time_point cached_at_{}; ///< Time at which `cached_` was received.
    clock::time_point last_batch_end_{}; ///< Time at which the last batch ended.
    std::string last_error_;             ///< Error message of the last failed call to the store.
    batch waiting_requests_;
    bool is_processing_ = false;
    notification batch_changed_; ///< Wakes the task that collects a batch.
};

template <ledger_store Store>
task<ledger_outcome> ledger_writer<Store>::submit(const ledger_request& request) {
    if (waiting_requests_.size() >= max_waiting_requests) {
        ledger_outcome unknown;
        unknown.error = "too many requests wait for the ledger";
        co_return unknown;
    }
    auto pending = std::make_shared<pending_request>(
        pending_request{request, std::nullopt, notification(context_.get_executor())});
    waiting_requests_.push_back(pending);
    if (request.is_urgent) {
        batch_changed_.notify();
    }
    if (!is_processing_) {
        is_processing_ = true;
        asio::co_spawn(context_, process_batches(), asio::detached);
    }
    if (!pending->outcome.has_value()) { // The outcome may already have been set without a wait.
        (void)co_await pending->completed.wait_until(clock::now() + request_timeout);
    }
    if (!pending->outcome.has_value()) {
        ledger_outcome unknown;
        unknown.error = "the store has not answered yet";
        unknown.still_trying = true;
        co_return unknown;
    }
    co_return *pending->outcome;
}

template <ledger_store Store>
task<void> ledger_writer<Store>::process_batches() {
    while (!waiting_requests_.empty()) {
        co_await collect_batch();
        batch requests;
        requests.swap(waiting_requests_);
        co_await process_batch(std::move(requests));
        last_batch_end_ = clock::now();
    }
    is_processing_ = false;
}

template <ledger_store Store>
task<void> ledger_writer<Store>::collect_batch() {
    const auto started = clock::now();
    for (;;) {
        const auto deadline =
            has_urgent_request() ? last_batch_end_ + min_batch_interval : started + batch_delay;
        if (clock::now() >= deadline) {
            co_return;
        }
        (void)co_await batch_changed_.wait_until(deadline); // An urgent request changes the deadline.
    }
}

template <ledger_store Store>
bool ledger_writer<Store>::has_urgent_request() const {
    return std::any_of(waiting_requests_.begin(), waiting_requests_.end(),
                       [](const auto& each) { return each->request.is_urgent; });
}

template <ledger_store Store>
task<void> ledger_writer<Store>::process_batch(batch requests) {
    if (cache_suffices(requests)) {
        finish(requests, ledger_outcome::status_kind::applied, "");
        co_return;
    }
    bool store_replied = false; // Whether the store has replied since this batch began.
    for (int i = 0; i < max_calls_per_batch; ++i) {
        const bool any_applies = std::any_of(requests.begin(), requests.end(), [this](const auto& each) {
            return each->request.writes() && applies(each->request);
        });
        if (!any_applies && store_replied) {
            finish(requests, ledger_outcome::status_kind::applied, "");
            co_return;
        }
        const bool has_ledger = cached_.position.revision != 0 || store_replied;
        const bool replied =
            any_applies && has_ledger ? co_await write_batch(requests) : co_await read_ledger();
        if (!replied) {
            cached_ = {};
            finish(requests, ledger_outcome::status_kind::unknown, last_error_);
            co_return;
        }
        store_replied = true;
    }
    finish(requests, ledger_outcome::status_kind::unknown, "the ledger changed too often");
}

/// Returns whether all requests of a batch only read and the cached ledger is recent enough to answer them.
template <ledger_store Store>
bool ledger_writer<Store>::cache_suffices(const batch& requests) const {
    const bool writes = std::any_of(requests.begin(), requests.end(),
                                    [](const auto& each) { return each->request.writes(); });
    return !writes && cached_.position.revision != 0 && clock::now() - cached_at_ <= max_cache_age;
}

template <ledger_store Store>
task<bool> ledger_writer<Store>::read_ledger() {
    result<versioned_ledger> now = co_await store_.read();
    if (!now) {
        last_error_ = now.error().text();
        co_return false;
    }
    accept(std::move(now.value()));
    co_return true;
}

/// Keeps a ledger that the store replied with, unless the reply is from before the store was restored.
template <ledger_store Store>
void ledger_writer<Store>::accept(versioned_ledger received) {
    if (received.position.era < newest_era_) {
        return;
    }
    const bool lost = has_seen_ledger_ && received.position.revision == 0;
    lost_ledger_ = lost || (lost_ledger_ && received.position.revision == 0);
    has_seen_ledger_ = received.position.revision != 0;
    newest_era_ = received.position.era;
    cached_ = std::move(received);
    cached_at_ = clock::now();
}

/// Writes the changes of all requests that apply to the cached ledger. Returns true if the store replied,
/// even with a conflict.
template <ledger_store Store>
task<bool> ledger_writer<Store>::write_batch(const batch& requests) {
    const budget_ledger next = ledger_with_changes(requests);
    ledger_write written = co_await store_.write(next, cached_.position.revision);
    if (written.status == ledger_write::status_kind::unknown) {
        last_error_ = written.error;
        co_return false;
    }
    accept(std::move(written.current));
    co_return true;
}

/// Begins a recovery if the cached ledger comes from a copy, and ends one that has lasted too long.
template <ledger_store Store>
void ledger_writer<Store>::advance_recovery(budget_ledger& next) {
    const std::uint64_t era = cached_.position.era;
    if (next.is_from_copy(era) || lost_ledger_) {
        next.begin_recovery(era);
    }
    next.era = era;
    if (!next.is_recovering) {
        return;
    }
    if (recovery_era_ != era) {
        recovery_era_ = era;
        recovery_seen_at_ = clock::now();
        log_recovery("ledger_recovery_begun", next);
    }
    const auto lasted = clock::now() - recovery_seen_at_;
    if (lasted >= recovery_.maximum || (next.awaited.empty() && lasted >= recovery_.minimum)) {
        next.end_recovery();
        log_recovery("ledger_recovery_ended", next);
    }
}

template <ledger_store Store>
void ledger_writer<Store>::log_recovery(const char* event, const budget_ledger& ledger) {
    Json::Value fields;
    fields["era"] = Json::UInt64(ledger.era);
    fields["awaited_routers"] = Json::UInt64(ledger.awaited.size());
    for (const std::string& router : ledger.missing) {
        fields["missing_routers"].append(router);
    }
    log_(event, std::move(fields));
}

template <ledger_store Store>
budget_ledger ledger_writer<Store>::ledger_with_changes(const batch& requests) {
    const auto unix_time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    budget_ledger next = cached_.ledger;
    advance_recovery(next);
    for (const auto& each : requests) {
        const ledger_request& request = each->request;
        const bool still_applies = next.last_write(request.router).sequence == request.previous;
        if (!request.writes() || !still_applies) {
            continue;
        }
        next.await_routers(request.routers_seen);
        budget_ledger::writer last{
            request.sequence, unix_time.count(), request.notice_address, {}, request.is_last};
        if (request.is_restoration) {
            next.restore(request.router, std::move(last), request.changes);
        } else {
            next.change(request.router, std::move(last), request.changes);
        }
    }
    return next;
}

/// Sets the outcome of all requests of a batch from the cached ledger, or as unknown.
template <ledger_store Store>
void ledger_writer<Store>::finish(const batch& requests, ledger_outcome::status_kind how,
                                  const std::string& why) {
    if (how == ledger_outcome::status_kind::unknown) {
        Json::Value fields;
        fields["requests"] = Json::UInt64(requests.size());
        fields["error"] = why;
        log_("ledger_unavailable", std::move(fields));
    }
    for (const auto& each : requests) {
        ledger_outcome& outcome = each->outcome.emplace();
        if (how == ledger_outcome::status_kind::unknown) {
            outcome.error = why;
        } else {
            outcome.status = kind_of(each->request, cached_.ledger);
            outcome.current = cached_;
        }
        each->completed.notify();
    }
}

} // namespace eelgrassgw

#pragma once

/// Writes the requests of any number of routers to the ledger, many in one conditional write.

#include "base/event_sink.h"
#include "budgets/ledger_request.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Meets `ledger_service`. Keeps nothing that must last, and any number of writers may work at once: what one
/// believes of the ledger only counts where the store confirms it by a conditional write.
/// Not thread-safe: all tasks run on one thread.
///
/// Load answered: many routers that write to one document, where single writes would mostly be conflicts.
template <ledger_store Store>
class ledger_writer {
public:
    using clock = std::chrono::steady_clock;

    static constexpr std::chrono::milliseconds gather{50};       ///< Wait for others, where nobody is urgent.
    static constexpr std::chrono::milliseconds spacing{20};      ///< Between writes, also where callers wait.
    static constexpr std::chrono::milliseconds fresh_enough{40}; ///< Age up to which a look needs no reading.
    static constexpr std::chrono::milliseconds patience{450};    ///< A request waits so long for its end.
    static constexpr int most_conflicts = 8;                     ///< Of one write.
    static constexpr std::size_t most_waiting = 1024;            ///< Requests; further ones end as unknown.

    ledger_writer(asio::io_context& context, Store store, event_sink_function log)
        : context_(context), store_(std::move(store)), log_(std::move(log)), gathering_(context) {}

    /// Returns when the request has ended, or after `patience`. Precondition: this object outlives the task.
    task<ledger_outcome> submit(const ledger_request& request);

private:
    struct pending {
        ledger_request request;
        std::optional<ledger_outcome> outcome;
        asio::steady_timer ended;
    };
    using batch = std::vector<std::shared_ptr<pending>>;

    task<void> work_off();
    task<void> gather_more();
    bool anyone_is_urgent() const;
    task<void> settle_all(batch all);
    task<bool> read();
    task<bool> write_once(const batch& all);
    bool known_is_enough(const batch& all) const;
    budget_ledger with_changes(const batch& all) const;
    bool applies(const ledger_request& request) const {
        return known_.ledger.last_write(request.router).sequence == request.previous;
    }
    void finish(const batch& all, ledger_outcome::kind how, const std::string& why);
    static ledger_outcome::kind kind_of(const ledger_request& request, const budget_ledger& now) {
        const bool contains = now.last_write(request.router).sequence == request.sequence;
        return contains || !request.writes() ? ledger_outcome::kind::applied : ledger_outcome::kind::refused;
    }

    asio::io_context& context_;
    Store store_;
    event_sink_function log_;
    versioned_ledger known_;
    clock::time_point known_at_{};
    clock::time_point worked_at_{}; ///< End of the last batch.
    std::string error_;             ///< Of the last call to the store that failed.
    batch waiting_;
    bool working_ = false;
    asio::steady_timer gathering_;
};

template <ledger_store Store>
task<ledger_outcome> ledger_writer<Store>::submit(const ledger_request& request) {
    if (waiting_.size() >= most_waiting) {
        ledger_outcome unknown;
        unknown.why = "too many requests wait for the ledger";
        co_return unknown;
    }
    auto own =
        std::make_shared<pending>(pending{request, std::nullopt, asio::steady_timer(context_, patience)});
    waiting_.push_back(own);
    if (request.is_urgent) {
        gathering_.cancel();
    }
    if (!working_) {
        working_ = true;
        asio::co_spawn(context_, work_off(), asio::detached);
    }
    if (!own->outcome.has_value()) { // The work may have been done at once.
        net_error ec;
        co_await own->ended.async_wait(with_error(ec));
    }
    if (!own->outcome.has_value()) {
        ledger_outcome unknown;
        unknown.why = "the store has not answered yet";
        unknown.still_trying = true;
        co_return unknown;
    }
    co_return *own->outcome;
}

template <ledger_store Store>
task<void> ledger_writer<Store>::work_off() {
    while (!waiting_.empty()) {
        co_await gather_more();
        batch all;
        all.swap(waiting_);
        co_await settle_all(std::move(all));
        worked_at_ = clock::now();
    }
    working_ = false;
}

template <ledger_store Store>
task<void> ledger_writer<Store>::gather_more() {
    const auto begun = clock::now();
    for (;;) {
        const auto until = anyone_is_urgent() ? worked_at_ + spacing : begun + gather;
        if (clock::now() >= until) {
            co_return;
        }
        gathering_.expires_at(until);
        net_error ec; // An urgent request ends the wait, and the next turn finds out for how long to go on.
        co_await gathering_.async_wait(with_error(ec));
    }
}

template <ledger_store Store>
bool ledger_writer<Store>::anyone_is_urgent() const {
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [](const auto& each) { return each->request.is_urgent; });
}

template <ledger_store Store>
task<void> ledger_writer<Store>::settle_all(batch all) {
    if (known_is_enough(all)) {
        finish(all, ledger_outcome::kind::applied, "");
        co_return;
    }
    bool confirmed = false; // Whether the store has answered since this batch began.
    for (int i = 0; i < most_conflicts; ++i) {
        const bool any = std::any_of(all.begin(), all.end(), [this](const auto& each) {
            return each->request.writes() && applies(each->request);
        });
        if (!any && confirmed) {
            finish(all, ledger_outcome::kind::applied, "");
            co_return;
        }
        const bool known = known_.revision != 0 || confirmed;
        const bool answered = any && known ? co_await write_once(all) : co_await read();
        if (!answered) {
            known_ = {};
            finish(all, ledger_outcome::kind::unknown, error_);
            co_return;
        }
        confirmed = true;
    }
    finish(all, ledger_outcome::kind::unknown, "the ledger changed too often");
}

/// Whether all requests of a batch only look, and what is known is young enough for that.
template <ledger_store Store>
bool ledger_writer<Store>::known_is_enough(const batch& all) const {
    const bool writes =
        std::any_of(all.begin(), all.end(), [](const auto& each) { return each->request.writes(); });
    return !writes && known_.revision != 0 && clock::now() - known_at_ <= fresh_enough;
}

template <ledger_store Store>
task<bool> ledger_writer<Store>::read() {
    result<versioned_ledger> now = co_await store_.read();
    if (!now) {
        error_ = now.error().text();
        co_return false;
    }
    known_ = std::move(now.value());
    known_at_ = clock::now();
    co_return true;
}

/// Writes all that apply to the known ledger. True where the store answered, also with a conflict.
template <ledger_store Store>
task<bool> ledger_writer<Store>::write_once(const batch& all) {
    const budget_ledger next = with_changes(all);
    ledger_write written = co_await store_.write(next, known_.revision);
    if (written.how == ledger_write::outcome::unknown) {
        error_ = written.why;
        co_return false;
    }
    known_ = std::move(written.now);
    known_at_ = clock::now();
    co_return true;
}

template <ledger_store Store>
budget_ledger ledger_writer<Store>::with_changes(const batch& all) const {
    const auto unix_time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    budget_ledger next = known_.ledger;
    for (const auto& each : all) {
        const ledger_request& request = each->request;
        const bool first = next.last_write(request.router).sequence == request.previous;
        if (request.writes() && first) {
            next.change(request.router, {request.sequence, unix_time.count(), request.notice_address, {}},
                        request.changes);
        }
    }
    return next;
}

/// Ends all requests of a batch by the known ledger, or as unknown.
template <ledger_store Store>
void ledger_writer<Store>::finish(const batch& all, ledger_outcome::kind how, const std::string& why) {
    if (how == ledger_outcome::kind::unknown) {
        Json::Value fields;
        fields["requests"] = Json::UInt64(all.size());
        fields["error"] = why;
        log_("ledger_unavailable", std::move(fields));
    }
    for (const auto& each : all) {
        ledger_outcome& outcome = each->outcome.emplace();
        if (how == ledger_outcome::kind::unknown) {
            outcome.why = why;
        } else {
            outcome.how = kind_of(each->request, known_.ledger);
            outcome.now = known_;
        }
        each->ended.cancel();
    }
}

} // namespace eelgrassgw

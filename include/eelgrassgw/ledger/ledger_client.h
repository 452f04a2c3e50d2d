#pragma once

/// A router incarnation's client of the ledger: requests grants, returns tokens and folds its journal.

#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/journal/journal_segment.h"
#include "eelgrassgw/ledger/allowance_book.h"
#include "eelgrassgw/ledger/allowance_policy.h"
#include "eelgrassgw/platform/object_store.h"

#include <functional>
#include <memory>
#include <optional>

namespace eelgrassgw {

/// Keeps a router's `allowance_book` consistent with the ledger. All methods are thread-safe.
///
/// Every write is conditional on a version of the shard. If the answer to a write is lost, the outcome
/// is known as soon as the shard has a newer version: the operation number in it shows whether the write took
/// effect, and a write that did not can no longer do so.
template <object_store Store, allowance_policy Policy>
class ledger_client {
public:
    ledger_client(Store& store, std::string incarnation, unsigned shard_count, allowance_book& book,
                  Policy policy, std::function<std::size_t()> router_count,
                  std::function<steady_time()> clock = std::chrono::steady_clock::now)
        : store_(store), incarnation_(std::move(incarnation)), book_(book), policy_(policy),
          router_count_(std::move(router_count)), clock_(std::move(clock)) {
        for (unsigned i = 0; i < shard_count; ++i) {
            shards_.push_back(std::make_unique<shard_state>());
        }
    }

    /// Reserves `amount` in the book, and requests a grant from the ledger if the book has too little.
    /// Fails with `budget_exhausted`, `budget_unreachable`, `not_found` or `fenced`.
    result<done> reserve(const std::string& budget, tokens amount) {
        const steady_time now = clock_();
        if (book_.reserve(budget, amount, now)) {
            return done{};
        }
        shard_state& state = shard_state_for(budget);
        const std::lock_guard lock(state.mutex);
        if (book_.reserve(budget, amount, now)) {
            return done{};
        }
        const result<done> granted = grant(state, budget, amount);
        if (!granted) {
            return to_budget_failure(granted.error(), budget);
        }
        if (!book_.reserve(budget, amount, now)) {
            return make_failure(errc::budget_exhausted, "reserve", "",
                                "budget \"" + budget + "\" was drawn on by other requests meanwhile");
        }
        return done{};
    }

    /// Queues a written journal segment to be folded into the ledger.
    void add_unfolded(const journal_segment& segment) {
        for (unsigned i = 0; i < shards_.size(); ++i) {
            std::vector<budget_spend> spends = sum_spends(segment.records, i, shard_count());
            if (!spends.empty()) {
                const std::lock_guard lock(shards_[i]->mutex);
                shards_[i]->unfolded.push_back({segment.number, std::move(spends)});
            }
        }
    }

    /// Folds the queued journal segments into their shards, and refills low allowances with the same writes.
    /// Returns the first failure.
    result<done> fold_all() {
        result<done> outcome = done{};
        for (auto& state : shards_) {
            const std::lock_guard lock(state->mutex);
            if (state->unfolded.empty()) {
                continue;
            }
            const unsigned number = shard_number(*state);
            const result<done> folded = update(*state, [&](ledger_shard& shard) {
                refill(shard, number);
                return result<done>(done{});
            });
            if (!folded && outcome) {
                outcome = folded;
            }
        }
        return outcome;
    }

    /// Gives up to `amount` available tokens of `budget` back to the ledger. Returns the number given back.
    result<tokens> give_back(const std::string& budget, tokens amount) {
        shard_state& state = shard_state_for(budget);
        const std::lock_guard lock(state.mutex);
        const tokens taken = book_.withdraw_available(budget, amount);
        if (taken == 0) {
            return tokens{0};
        }
        state.current_return = {budget, taken};
        const result<done> returned =
            update(state, [&](ledger_shard& shard) { return shard.give_back(incarnation_, budget, taken); });
        state.current_return = {};
        if (!returned) {
            // If the return may still take effect, its tokens stay out of the book until a newer version of
            // the shard shows the outcome.
            if (!state.unresolved_version) {
                book_.add_grant(budget, taken);
            }
            return returned.error();
        }
        return taken;
    }

    /// Closes this incarnation's holder in every shard. Precondition: no request is in flight, and every
    /// finished request is journalled.
    result<done> close() {
        for (auto& state : shards_) {
            const std::lock_guard lock(state->mutex);
            if (!state->has_holder) {
                continue;
            }
            const result<done> closed = update(*state, [&](ledger_shard& shard) {
                shard.close_holder(incarnation_);
                return result<done>(done{});
            });
            if (!closed && !closed.failed_with(errc::fenced)) {
                return closed.error();
            }
        }
        return done{};
    }

    /// Returns the other incarnations that hold tokens of `budget`, according to the cached shard.
    std::vector<std::string> other_holders(const std::string& budget) {
        shard_state& state = shard_state_for(budget);
        const std::lock_guard lock(state.mutex);
        std::vector<std::string> names;
        for (const auto& [name, holder] : state.shard.holders()) {
            if (name != incarnation_ && holder.allowances.contains(budget)) {
                names.push_back(name);
            }
        }
        return names;
    }

    /// Returns the unspent tokens of `budget`, free or held by any router, according to the cached shard.
    tokens unspent(const std::string& budget) {
        shard_state& state = shard_state_for(budget);
        const std::lock_guard lock(state.mutex);
        return state.shard.free_tokens(budget) + state.shard.granted_tokens(budget);
    }

    /// Makes the next call read the shard from the object API, for example after another router has returned
    /// tokens.
    void invalidate_cache(const std::string& budget) {
        shard_state& state = shard_state_for(budget);
        const std::lock_guard lock(state.mutex);
        state.is_cached = false;
    }

    unsigned shard_count() const { return static_cast<unsigned>(shards_.size()); }

private:
    static constexpr int max_write_attempts = 8;
    /// Minimum spend rate of a budget that is refilled ahead of need.
    static constexpr double min_refill_tokens_per_second = 1;
    /// Age up to which a cached shard is current enough to refuse a request.
    static constexpr std::chrono::milliseconds max_cache_age{100};

    /// The part of a journal segment that one shard has not folded yet.
    struct unfolded_segment {
        std::int64_t number = 0;
        std::vector<budget_spend> spends;
    };

    /// Tokens that are removed from the book and not yet returned to the ledger.
    struct pending_return {
        std::string budget;
        tokens amount = 0;
    };

    /// The client's state of one shard.
    struct shard_state {
        std::mutex mutex;
        bool is_cached = false;  ///< Whether `shard` and `version` hold what was last read or written.
        bool has_holder = false; ///< Whether the shard has had a holder for this incarnation.
        ledger_shard shard;
        object_version version = absent_version;
        steady_time read_at{};
        std::uint64_t last_operation = 0;  ///< Number of the last attempted write.
        std::uint64_t first_operation = 0; ///< Number of the first write of the current call.
        /// Version on which a write with an unknown outcome was conditional, if there is such a write.
        std::optional<object_version> unresolved_version;
        pending_return current_return;
        std::vector<unfolded_segment> unfolded;
    };

    shard_state& shard_state_for(const std::string& budget) {
        return *shards_[shard_for_budget(budget, shard_count())];
    }

    unsigned shard_number(const shard_state& state) const {
        for (unsigned i = 0; i < shards_.size(); ++i) {
            if (shards_[i].get() == &state) {
                return i;
            }
        }
        return 0;
    }

    grant_situation make_situation(const ledger_shard& shard, const std::string& budget,
                                   tokens needed) const {
        grant_situation situation;
        situation.needed = needed;
        situation.available = book_.state(budget).available();
        situation.free = shard.free_tokens(budget);
        situation.unspent = situation.free + shard.granted_tokens(budget);
        situation.router_count = router_count_();
        situation.spend_rate_per_second = book_.spend_rate_per_second(budget, clock_());
        return situation;
    }

    result<done> grant(shard_state& state, const std::string& budget, tokens amount) {
        return update(state, [&](ledger_shard& shard) -> result<done> {
            const tokens needed = amount - book_.state(budget).available();
            const tokens size = policy_.grant_size(make_situation(shard, budget, needed));
            return shard.grant(incarnation_, budget, std::max(size, std::max<tokens>(needed, 1)));
        });
    }

    /// Grants more tokens of budgets in use before they run out, so that the router has an allowance when an
    /// outage begins.
    void refill(ledger_shard& shard, unsigned number) {
        for (const std::string& budget : book_.budgets()) {
            const bool is_in_shard = shard_for_budget(budget, shard_count()) == number;
            if (!is_in_shard ||
                book_.spend_rate_per_second(budget, clock_()) < min_refill_tokens_per_second) {
                continue;
            }
            const grant_situation situation = make_situation(shard, budget, 0);
            const tokens size = policy_.grant_size(situation);
            if (size > situation.available) {
                // If this grant fails, the next request asks for one.
                (void)shard.grant(incarnation_, budget, size);
            }
        }
    }

    /// Applies `change` and all queued folds with one conditional write, and retries after a conflict.
    template <class Change>
    result<done> update(shard_state& state, Change change) {
        state.first_operation = state.last_operation + 1;
        for (int i = 0; i < max_write_attempts; ++i) {
            if (!state.is_cached || state.unresolved_version) {
                const result<done> read = refresh(state);
                if (!read) {
                    return read.error();
                }
                if (has_taken_effect(state)) {
                    return done{};
                }
            }
            ledger_shard next = state.shard;
            const result<done> changed = fold_and_apply(state, next, change);
            if (!changed) {
                if (changed.failed_with(errc::fenced) || is_fresh(state)) {
                    return changed.error();
                }
                state.is_cached = false;
                continue;
            }
            const result<done> written = write(state, std::move(next));
            if (written || !written.failed_with(errc::version_conflict)) {
                return written;
            }
        }
        return make_failure(errc::unreachable, "ledger update", "", "too many writers race for one shard");
    }

    /// Returns whether a write of the current call has taken effect in the shard.
    bool has_taken_effect(const shard_state& state) const {
        const allowance_holder* holder = state.shard.find_holder(incarnation_);
        return !state.unresolved_version && holder != nullptr && holder->operation >= state.first_operation;
    }

    /// Folds the queued segments into `next` and then applies `change` to it.
    template <class Change>
    result<done> fold_and_apply(shard_state& state, ledger_shard& next, Change change) {
        if (state.has_holder && next.find_holder(incarnation_) == nullptr) {
            return make_failure(errc::fenced, "ledger update", "",
                                "recovery closed holder \"" + incarnation_ + "\"");
        }
        if (failpoint("ledger_fold") != failpoint_action::skip) {
            for (const unfolded_segment& segment : state.unfolded) {
                const result<done> folded = next.fold(incarnation_, segment.number, segment.spends);
                if (!folded) {
                    return folded;
                }
            }
        }
        const result<done> changed = change(next);
        if (changed && next.find_holder(incarnation_) != nullptr) {
            next.set_operation(incarnation_, ++state.last_operation);
        }
        return changed;
    }

    /// Writes `next` on the condition that the stored shard is unchanged. A lost answer is reported as a
    /// conflict, so that the caller reads the shard again.
    result<done> write(shard_state& state, ledger_shard next) {
        const bool is_return = state.current_return.amount > 0;
        failpoint(is_return ? "return_before_write"
                            : (state.unfolded.empty() ? "grant_before_write" : "fold_before_write"));
        const std::string key = ledger_key(shard_number(state));
        const result<object_version> written = store_.put(key, next.to_text(), state.version);
        failpoint(is_return ? "return_after_write"
                            : (state.unfolded.empty() ? "grant_after_write" : "fold_after_write"));
        if (written) {
            state.shard = std::move(next);
            state.version = written.value();
            state.unresolved_version.reset();
            state.current_return = {};
            sync_book(state);
            return done{};
        }
        if (written.failed_with(errc::unreachable)) {
            return written.error();
        }
        // A conflict may stem from this same write if the transport sent it twice, so it is handled like a
        // lost answer.
        state.is_cached = false;
        state.unresolved_version = state.version;
        return make_failure(errc::version_conflict, "ledger update", written.error().peer,
                            written.error().message);
    }

    /// Reads the shard, and resolves a write with an unknown outcome if the shard has a newer version.
    result<done> refresh(shard_state& state) {
        const result<std::optional<stored_object>> read = store_.get(ledger_key(shard_number(state)));
        if (!read) {
            return read.error();
        }
        const object_version version = read.value() ? read.value()->version : absent_version;
        if (read.value()) {
            result<ledger_shard> parsed = ledger_shard::from_text(read.value()->value);
            if (!parsed) {
                return parsed.error();
            }
            state.shard = std::move(parsed.value());
        }
        state.version = version;
        state.is_cached = true;
        state.read_at = clock_();
        if (state.unresolved_version && *state.unresolved_version != version) {
            state.unresolved_version.reset();
            if (has_taken_effect(state)) {
                state.current_return = {};
            }
            sync_book(state);
        }
        return done{};
    }

    bool is_fresh(const shard_state& state) const { return clock_() - state.read_at < max_cache_age; }

    /// Sets the book to the ledger's state of this incarnation. Precondition: no earlier write can still take
    /// effect.
    void sync_book(shard_state& state) {
        const allowance_holder* holder = state.shard.find_holder(incarnation_);
        if (holder == nullptr) {
            return;
        }
        state.has_holder = true;
        remove_folded_segments(state, *holder);
        for (const std::string& budget : book_.budgets()) {
            if (shard_for_budget(budget, shard_count()) != shard_number(state)) {
                continue;
            }
            const auto it = holder->allowances.find(budget);
            const tokens in_ledger = it == holder->allowances.end() ? 0 : it->second;
            const tokens confirmed =
                in_ledger - (budget == state.current_return.budget ? state.current_return.amount : 0);
            book_.add_grant(budget, confirmed - book_.state(budget).granted);
        }
    }

    /// Removes the folded segments from the queue and from the book.
    void remove_folded_segments(shard_state& state, const allowance_holder& holder) {
        std::erase_if(state.unfolded, [&](const unfolded_segment& segment) {
            if (segment.number > holder.folded_through) {
                return false;
            }
            for (const budget_spend& spend : segment.spends) {
                book_.remove_folded(spend.budget, spend.billed + spend.withheld);
            }
            return true;
        });
    }

    failure to_budget_failure(const failure& cause, const std::string& budget) const {
        if (cause.code == errc::budget_exhausted || cause.code == errc::not_found ||
            cause.code == errc::fenced) {
            return cause;
        }
        return make_failure(errc::budget_unreachable, "reserve", cause.peer,
                            "budget \"" + budget + "\" cannot be asked: " + cause.text());
    }

    Store& store_;
    std::string incarnation_;
    allowance_book& book_;
    Policy policy_;
    std::function<std::size_t()> router_count_;
    std::function<steady_time()> clock_;
    std::vector<std::unique_ptr<shard_state>> shards_;
};

} // namespace eelgrassgw

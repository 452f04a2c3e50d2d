/// Compares allowance policies on the same traces, in virtual time, with the production allowance book,
/// ledger client and ledger over an object store in memory. Prints one JSON document.

#include "bench/allowance_trace.h"
#include "eelgrassgw/ledger/ledger_client.h"
#include "eelgrassgw/ledger/top_up.h"
#include "test/fakes/memory_object_store.h"

#include <gflags/gflags.h>

#include <iostream>
#include <queue>

DEFINE_uint32(seed, 1, "seed of the traces");

namespace eelgrassgw::bench {
namespace {

using test::memory_object_store;

constexpr unsigned shard_count = 16;
constexpr double store_call_ms = 3;
constexpr double peer_call_ms = 2;
constexpr double fold_interval_seconds = 30;
constexpr double journal_interval_seconds = 1;
constexpr double recovery_seconds = 20; ///< Time from a router's death until its allowances are returned.
constexpr std::chrono::seconds demand_horizon{3600}; ///< Period whose expected demand a router keeps.
constexpr std::chrono::seconds idle_timeout{300};    ///< Time without use after which a budget is idle.

/// Gives one router access to the shared store, and counts its calls. The store may be unreachable for all
/// routers or for this router alone.
class store_view {
public:
    explicit store_view(memory_object_store& store) : store_(store) {}

    result<std::optional<stored_object>> get(const std::string& key) {
        ++calls;
        return is_disconnected ? result<std::optional<stored_object>>(disconnected()) : store_.get(key);
    }
    result<object_version> put(const std::string& key, const std::string& value, object_version expected) {
        ++calls;
        return is_disconnected ? result<object_version>(disconnected()) : store_.put(key, value, expected);
    }
    result<done> remove(const std::string& key, object_version expected) {
        return store_.remove(key, expected);
    }
    result<object_changes> list(const std::string& prefix) { return store_.list(prefix); }
    result<object_changes> watch(const std::string& prefix, object_version since,
                                 std::chrono::milliseconds wait) {
        return store_.watch(prefix, since, wait);
    }

    bool is_disconnected = false; ///< Whether this router alone cannot reach the store.
    std::uint64_t calls = 0;      ///< Number of reads and writes, and of journal writes.

private:
    static failure disconnected() { return make_failure(errc::unreachable, "call", "store", "cut off"); }

    memory_object_store& store_;
};

static_assert(object_store<store_view>);

/// Result of one policy on one trace.
struct score {
    std::size_t requests = 0;
    std::size_t refused = 0;
    /// Number of refused requests whose reservation the budget could still cover.
    std::size_t false_refusals = 0;
    /// Number of requests whose reservation did not fit in the budget, although their true usage did.
    std::size_t false_refusals_by_bound = 0;
    tokens overspend = 0; ///< Tokens spent beyond the tokens paid in, at the worst moment.
    /// Share of the paid tokens that was spent when the first request was refused; 1 if none was refused.
    double spent_share_at_first_refusal = 1;
    std::uint64_t platform_calls = 0;
    std::vector<double> added_ms;      ///< Latency that admission added to each request.
    tokens max_held_after_failure = 0; ///< Largest number of unspent tokens that a dead router held.
    double held_token_seconds = 0;     ///< Tokens held by dead routers, multiplied by the time held.
};

/// Behaviour of a policy apart from the size of its grants.
struct policy_traits {
    std::string name;
    bool reclaims = false;              ///< Whether routers ask other holders when the ledger is empty.
    bool returns_after_request = false; ///< Whether routers return their allowance after each request.
    bool returns_idle = false;          ///< Whether routers return the allowances of idle budgets.
};

/// Runs one policy over one trace in virtual time.
template <allowance_policy Policy>
class simulation {
public:
    simulation(const trace& t, Policy policy, policy_traits traits)
        : trace_(t), policy_(policy), traits_(std::move(traits)), spent_(t.paid.size()),
          reserved_(t.paid.size()), paid_(t.paid) {
        for (std::size_t i = 0; i < t.paid.size(); ++i) {
            (void)pay_in(store_, {"customer", budget_name(static_cast<int>(i)), "first", t.paid[i]},
                         shard_count);
        }
        for (int i = 0; i < t.routers; ++i) {
            routers_.push_back(open_router(i));
        }
    }

    score run() {
        std::size_t next_event = 0;
        double next_fold = fold_interval_seconds;
        double next_journal = journal_interval_seconds;
        for (const trace_request& r : trace_.requests) {
            while (next_event < trace_.events.size() &&
                   trace_.events[next_event].at_seconds <= r.at_seconds) {
                advance_to(trace_.events[next_event].at_seconds);
                apply(trace_.events[next_event++]);
            }
            while (next_journal <= r.at_seconds) {
                advance_to(next_journal);
                for (const auto& owner : routers_) {
                    flush(*owner);
                }
                next_journal += journal_interval_seconds;
            }
            while (next_fold <= r.at_seconds) {
                advance_to(next_fold);
                fold_all();
                next_fold += fold_interval_seconds;
            }
            advance_to(r.at_seconds);
            admit(r);
        }
        advance_to(trace_.requests.back().at_seconds + 1000);
        finish_score();
        return score_;
    }

private:
    struct router {
        std::string incarnation;
        std::unique_ptr<store_view> view;
        std::unique_ptr<allowance_book> book;
        std::unique_ptr<ledger_client<store_view, Policy>> ledger;
        std::int64_t next_segment = 0;
        std::vector<billing_record> records;  ///< Billing records that are not yet journalled.
        std::vector<journal_segment> journal; ///< All journal segments, which recovery reads.
        double last_end_seconds = 0;          ///< Time when the last request in flight ends.
    };

    /// Request that ends at a given time.
    struct ending_request {
        double at_seconds = 0;
        std::shared_ptr<router> owner;
        trace_request request;
        bool operator<(const ending_request& other) const { return at_seconds > other.at_seconds; }
    };

    /// Recovery of a dead router that is due at a given time.
    struct recovery {
        double at_seconds = 0;
        std::shared_ptr<router> dead;
    };

    static std::string budget_name(int i) { return "budget-" + std::to_string(i); }

    steady_time now() const {
        return steady_time{} +
               std::chrono::microseconds(static_cast<std::int64_t>((now_seconds_ + 1000) * 1e6));
    }

    std::shared_ptr<router> open_router(int i) {
        auto opened = std::make_shared<router>();
        opened->incarnation = "router-" + std::to_string(i) + "-" + std::to_string(++incarnations_);
        opened->view = std::make_unique<store_view>(store_);
        opened->book = std::make_unique<allowance_book>();
        opened->ledger = std::make_unique<ledger_client<store_view, Policy>>(
            *opened->view, opened->incarnation, shard_count, *opened->book, policy_,
            [this] { return static_cast<std::size_t>(trace_.routers); }, [this] { return now(); });
        return opened;
    }

    void advance_to(double time) {
        for (;;) {
            const double next_end = ending_requests_.empty() ? 1e18 : ending_requests_.top().at_seconds;
            const double next_recovery = recoveries_.empty() ? 1e18 : recoveries_.front().at_seconds;
            if (std::min(next_end, next_recovery) > time) {
                break;
            }
            now_seconds_ = std::min(next_end, next_recovery);
            if (next_end <= next_recovery) {
                const ending_request e = ending_requests_.top();
                ending_requests_.pop();
                settle(e);
            } else {
                const recovery r = recoveries_.front();
                recoveries_.erase(recoveries_.begin());
                recover(*r.dead);
            }
        }
        now_seconds_ = time;
    }

    void admit(const trace_request& r) {
        ++score_.requests;
        const std::shared_ptr<router> owner = routers_[static_cast<std::size_t>(r.router)];
        const std::string budget = budget_name(r.budget);
        const auto b = static_cast<std::size_t>(r.budget);
        const std::uint64_t calls_before = owner->view->calls;
        double ms = 0;
        result<done> reserved = owner->ledger->reserve(budget, r.reserve);
        if (reserved.failed_with(errc::budget_exhausted) && traits_.reclaims) {
            ms += reclaim(*owner, budget, r.reserve);
            owner->ledger->invalidate_cache(budget);
            reserved = owner->ledger->reserve(budget, r.reserve);
        }
        ms += store_call_ms * static_cast<double>(owner->view->calls - calls_before);
        score_.added_ms.push_back(ms);
        if (!reserved) {
            count_refusal(r, b);
            return;
        }
        reserved_[b] += r.reserve;
        owner->last_end_seconds = std::max(owner->last_end_seconds, now_seconds_ + r.busy_seconds);
        ending_requests_.push({now_seconds_ + r.busy_seconds, owner, r});
    }

    void count_refusal(const trace_request& r, std::size_t b) {
        ++score_.refused;
        const tokens left = paid_[b] - spent_[b] - reserved_[b];
        if (left >= r.reserve) {
            ++score_.false_refusals;
        } else if (left >= r.used) {
            ++score_.false_refusals_by_bound;
        }
        if (score_.refused == 1) {
            tokens spent = 0;
            tokens paid = 0;
            for (std::size_t i = 0; i < paid_.size(); ++i) {
                spent += spent_[i];
                paid += paid_[i];
            }
            score_.spent_share_at_first_refusal = static_cast<double>(spent) / static_cast<double>(paid);
        }
    }

    /// Asks other holders to return tokens that they do not need, like the routers' "give_back" call. Returns
    /// the added latency in milliseconds.
    double reclaim(router& requester, const std::string& budget, tokens amount) {
        double ms = 0;
        tokens returned = 0;
        for (const std::string& holder : requester.ledger->other_holders(budget)) {
            for (const auto& other : routers_) {
                if (other->incarnation != holder || returned >= amount || other->view->is_disconnected) {
                    continue;
                }
                ms += peer_call_ms + store_call_ms;
                const result<tokens> given = other->ledger->give_back(budget, amount - returned);
                returned += given ? given.value() : 0;
            }
        }
        return ms;
    }

    void settle(const ending_request& e) {
        const auto b = static_cast<std::size_t>(e.request.budget);
        const std::string budget = budget_name(e.request.budget);
        reserved_[b] -= e.request.reserve;
        spent_[b] += e.request.used;
        score_.overspend = std::max(score_.overspend, spent_[b] - paid_[b]);
        billing_record record;
        record.request_id = std::to_string(++record_count_);
        record.budget = budget;
        record.billed = e.request.used;
        e.owner->records.push_back(record);
        e.owner->book->settle(budget, e.request.reserve, e.request.used);
        if (traits_.returns_after_request && is_alive(*e.owner)) {
            flush(*e.owner);
            (void)e.owner->ledger->fold_all();
            (void)e.owner->ledger->give_back(budget, e.owner->book->state(budget).available());
        }
    }

    bool is_alive(const router& r) const {
        return std::any_of(routers_.begin(), routers_.end(),
                           [&](const auto& other) { return other.get() == &r; });
    }

    void flush(router& r) {
        if (r.records.empty() || r.view->is_disconnected || store_.down) {
            return;
        }
        journal_segment segment;
        segment.number = r.next_segment++;
        segment.records = std::exchange(r.records, {});
        r.journal.push_back(segment);
        r.ledger->add_unfolded(segment);
        ++r.view->calls; // The journal write is also a call to the store.
    }

    void fold_all() {
        for (const auto& r : routers_) {
            flush(*r);
            (void)r->ledger->fold_all();
            if (!traits_.returns_idle) {
                continue;
            }
            for (const std::string& budget : r->book->budgets()) {
                const tokens idle = r->book->idle_tokens(budget, demand_horizon, now() - idle_timeout, now());
                if (idle > 0) {
                    (void)r->ledger->give_back(budget, idle);
                }
            }
        }
    }

    void apply(const trace_event& event) {
        const auto r = static_cast<std::size_t>(event.router);
        switch (event.kind) {
        case trace_event_kind::top_up:
            paid_[static_cast<std::size_t>(event.budget)] += event.amount;
            (void)pay_in(store_, {"customer", budget_name(event.budget), "second", event.amount},
                         shard_count);
            break;
        case trace_event_kind::router_disconnects:
            routers_[r]->view->is_disconnected = true;
            break;
        case trace_event_kind::router_reconnects:
            routers_[r]->view->is_disconnected = false;
            break;
        case trace_event_kind::object_api_stops:
            store_.down = true;
            break;
        case trace_event_kind::object_api_restarts:
            store_.down = false;
            break;
        case trace_event_kind::router_dies:
            kill_router(event.router);
        }
    }

    void kill_router(int i) {
        const std::shared_ptr<router> dead = routers_[static_cast<std::size_t>(i)];
        tokens held = 0;
        for (const std::string& budget : dead->book->budgets()) {
            held += dead->book->state(budget).available();
        }
        score_.max_held_after_failure = std::max(score_.max_held_after_failure, held);
        score_.held_token_seconds += static_cast<double>(held) * recovery_seconds;
        score_.platform_calls += dead->view->calls;
        routers_[static_cast<std::size_t>(i)] = open_router(i);
        recoveries_.push_back({std::max(now_seconds_ + recovery_seconds, dead->last_end_seconds), dead});
        std::sort(recoveries_.begin(), recoveries_.end(),
                  [](const recovery& a, const recovery& b) { return a.at_seconds < b.at_seconds; });
    }

    /// Folds the dead router's journal and its unwritten records into the ledger, and closes its holder. Runs
    /// after the last request of the dead router has ended.
    void recover(router& dead) {
        for (unsigned shard = 0; shard < shard_count; ++shard) {
            const auto object = store_.get(ledger_key(shard));
            if (!object || !object.value()) {
                continue;
            }
            ledger_shard ledger = ledger_shard::from_text(object.value()->value).value();
            const allowance_holder* holder = ledger.find_holder(dead.incarnation);
            if (holder == nullptr) {
                continue;
            }
            for (const journal_segment& segment : dead.journal) {
                (void)ledger.fold(dead.incarnation, segment.number,
                                  sum_spends(segment.records, shard, shard_count));
            }
            (void)ledger.fold(dead.incarnation, dead.next_segment,
                              sum_spends(dead.records, shard, shard_count));
            ledger.close_holder(dead.incarnation);
            (void)store_.put(ledger_key(shard), ledger.to_text(), object.value()->version);
        }
    }

    void finish_score() {
        for (const auto& r : routers_) {
            score_.platform_calls += r->view->calls;
        }
        std::sort(score_.added_ms.begin(), score_.added_ms.end());
    }

    const trace& trace_;
    Policy policy_;
    policy_traits traits_;
    memory_object_store store_;
    std::vector<tokens> spent_;
    std::vector<tokens> reserved_;
    std::vector<tokens> paid_;
    std::vector<std::shared_ptr<router>> routers_;
    std::priority_queue<ending_request> ending_requests_;
    std::vector<recovery> recoveries_;
    double now_seconds_ = 0;
    int incarnations_ = 0;
    std::uint64_t record_count_ = 0;
    score score_;
};

/// Runs an ideal policy that sees each budget as a whole and refuses only the requests that do not fit.
score run_oracle(const trace& t) {
    score s;
    std::vector<tokens> left = t.paid;
    struct release {
        double at_seconds;
        std::size_t budget;
        tokens amount;
        bool operator<(const release& other) const { return at_seconds > other.at_seconds; }
    };
    std::priority_queue<release> releases;
    std::size_t next_event = 0;
    for (const trace_request& r : t.requests) {
        while (next_event < t.events.size() && t.events[next_event].at_seconds <= r.at_seconds) {
            const trace_event& event = t.events[next_event++];
            if (event.kind == trace_event_kind::top_up) {
                left[static_cast<std::size_t>(event.budget)] += event.amount;
            }
        }
        while (!releases.empty() && releases.top().at_seconds <= r.at_seconds) {
            left[releases.top().budget] += releases.top().amount;
            releases.pop();
        }
        ++s.requests;
        s.added_ms.push_back(0);
        const auto b = static_cast<std::size_t>(r.budget);
        if (left[b] < r.reserve) {
            ++s.refused;
            s.false_refusals_by_bound += left[b] >= r.used ? 1 : 0;
            continue;
        }
        left[b] -= r.reserve;
        releases.push({r.at_seconds + r.busy_seconds, b, r.reserve - r.used});
    }
    return s;
}

double percentile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

Json::Value to_json(const trace& t, const std::string& policy, const score& s) {
    const auto n = static_cast<double>(s.requests);
    Json::Value row;
    row["deployment"] = t.deployment;
    row["scenario"] = t.scenario;
    row["policy"] = policy;
    row["requests"] = Json::UInt64(s.requests);
    row["refused"] = Json::UInt64(s.refused);
    row["overspend_tokens"] = Json::Int64(s.overspend);
    row["false_refusals_per_10000"] = 10000.0 * static_cast<double>(s.false_refusals) / n;
    row["refused_by_loose_bound_per_10000"] = 10000.0 * static_cast<double>(s.false_refusals_by_bound) / n;
    row["spent_share_at_first_refusal"] = s.spent_share_at_first_refusal;
    row["platform_calls_per_1000"] = 1000.0 * static_cast<double>(s.platform_calls) / n;
    row["added_ms_p50"] = percentile(s.added_ms, 0.5);
    row["added_ms_p99"] = percentile(s.added_ms, 0.99);
    row["most_tokens_held_after_failure"] = Json::Int64(s.max_held_after_failure);
    row["held_token_seconds"] = s.held_token_seconds;
    return row;
}

template <class Policy>
void add_run(Json::Value& rows, const trace& t, Policy policy, const policy_traits& traits) {
    rows.append(to_json(t, traits.name, simulation<Policy>(t, policy, traits).run()));
}

Json::Value run_all(unsigned seed) {
    Json::Value rows(Json::arrayValue);
    for (const trace& t : make_traces(seed)) {
        add_run(rows, t, per_request_policy{}, {"update for each request", false, true, false});
        add_run(rows, t, equal_split_policy{}, {"equal split", false, false, false});
        add_run(rows, t, fixed_chunk_policy{}, {"fixed chunk", false, false, false});
        demand_policy one_minute;
        one_minute.horizon = std::chrono::seconds(60);
        add_run(rows, t, one_minute, {"demand of 60 s", false, false, true});
        add_run(rows, t, one_minute, {"demand of 60 s, reclaim", true, false, true});
        add_run(rows, t, demand_policy{}, {"demand of 1 h, reclaim (chosen)", true, false, true});
        demand_policy whole_share;
        whole_share.max_share = 1;
        add_run(rows, t, whole_share, {"demand of 1 h, whole share, reclaim", true, false, true});
        rows.append(to_json(t, "oracle", run_oracle(t)));
    }
    return rows;
}

} // namespace
} // namespace eelgrassgw::bench

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Json::Value document;
    document["seed"] = FLAGS_seed;
    document["rows"] = eelgrassgw::bench::run_all(FLAGS_seed);
    std::cout << eelgrassgw::to_pretty_text(document);
}

/// Compares routing policies and admission under overload, in virtual time. The simulated engines have a
/// bounded batch and a prefix cache, and their load reports lag. Prints one JSON document.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/router/routing_policy.h"

#include <gflags/gflags.h>

#include <deque>
#include <iostream>
#include <queue>
#include <random>

DEFINE_uint32(seed, 1, "seed of the traces");

namespace eelgrassgw::bench {
namespace {

constexpr int engine_count = 10;
constexpr int router_count = 4;
constexpr int max_batch_size = 16;           ///< Maximum number of requests that an engine runs at once.
constexpr int max_queued_requests = 32;      ///< Maximum number of requests that wait at an engine.
constexpr double base_token_seconds = 0.012; ///< Time per token for a request that is alone in the batch.
/// Additional time per token for each other request in the batch.
constexpr double token_seconds_per_peer = 0.0012;
constexpr double prefill_seconds = 0.30;
constexpr double cached_prefill_seconds = 0.05;
constexpr std::size_t max_cached_prefixes = 40; ///< Maximum number of prefixes in an engine's cache.
constexpr double report_lag_seconds = 2;        ///< Interval between two load reports of an engine.
constexpr double max_retry_delay_seconds = 60;  ///< Maximum delay after which a refused caller retries.
constexpr double trace_seconds = 400;
constexpr int prefix_count = 300; ///< Number of different prompt prefixes, of which a few are frequent.

/// Request that a caller sends to a router.
struct routed_request {
    double at_seconds = 0;
    int router = 0;
    int prefix = 0;
    int priority = 1; ///< Priority: 0 is high, 1 is normal, 2 is low.
    int generated_tokens = 0;
    double deadline_seconds = 0; ///< Time by which the request must start.
    bool is_retry = false;       ///< Whether the request was refused before.
};

/// Retry of a refused request at a given time.
struct scheduled_retry {
    double at_seconds = 0;
    routed_request request;
    bool operator<(const scheduled_retry& other) const { return at_seconds > other.at_seconds; }
};

/// Simulated model engine with its agent's queue.
struct engine_state {
    int running_requests = 0;
    std::deque<routed_request> queue;
    std::deque<int> cached_prefixes; ///< Prefixes, most recently used first.
    std::size_t max_queue_length = 0;
    double mean_busy_seconds = 4;  ///< Moving average of the time that a request runs.
    double last_retry_seconds = 0; ///< Latest time at which a refused caller was asked to retry.
};

/// End of a request at a given time.
struct finish_event {
    double at_seconds = 0;
    int engine = 0;
    double busy_seconds = 0;
    int router = 0;
    bool operator<(const finish_event& other) const { return at_seconds > other.at_seconds; }
};

/// Result of one policy at one load.
struct routing_score {
    std::size_t offered = 0;
    std::size_t finished = 0;
    std::size_t finished_in_time = 0;
    std::size_t refused = 0;
    std::size_t cache_hits = 0;
    std::size_t started = 0;
    std::vector<double> first_token_seconds;
    std::vector<double> between_tokens_seconds;
    std::size_t retries = 0;          ///< Number of refused requests that were retried.
    std::size_t accepted_retries = 0; ///< Number of retries that an engine accepted.
    std::vector<double> wait_seconds_by_priority[3];
    std::size_t max_queue_length = 0;
};

/// Runs one policy at one load in virtual time.
template <routing_policy Policy>
class routing_simulation {
public:
    routing_simulation(double load, unsigned seed, Policy policy)
        : random_(seed), policies_(router_count, policy) {
        constexpr double mean_generated = 150;
        constexpr double full_token_seconds = base_token_seconds + token_seconds_per_peer * max_batch_size;
        const double capacity_per_second =
            engine_count * max_batch_size / (prefill_seconds / 2 + mean_generated * full_token_seconds);
        requests_per_second_ = load * capacity_per_second;
        own_in_flight_.assign(router_count, std::vector<int>(engine_count));
        reported_load_.assign(engine_count, 0);
    }

    routing_score run() {
        std::exponential_distribution<double> gap(requests_per_second_);
        double next_report = 0;
        for (double at = gap(random_); at < trace_seconds; at += gap(random_)) {
            run_retries_until(at);
            finish_until(at);
            while (next_report <= at) {
                for (std::size_t i = 0; i < engines_.size(); ++i) {
                    reported_load_[i] =
                        engines_[i].running_requests + static_cast<int>(engines_[i].queue.size());
                }
                next_report += report_lag_seconds;
            }
            admit(draw_request(at));
        }
        retries_ = {};
        finish_until(1e9);
        for (const engine_state& e : engines_) {
            score_.max_queue_length = std::max(score_.max_queue_length, e.max_queue_length);
        }
        return std::move(score_);
    }

private:
    /// Admits the retries that are due by `time`.
    void run_retries_until(double time) {
        while (!retries_.empty() && retries_.top().at_seconds <= time) {
            routed_request r = retries_.top().request;
            finish_until(retries_.top().at_seconds);
            r.at_seconds = retries_.top().at_seconds;
            retries_.pop();
            ++score_.retries;
            now_seconds_ = r.at_seconds;
            admit(r);
        }
    }

    routed_request draw_request(double at) {
        routed_request r;
        r.at_seconds = at;
        now_seconds_ = at;
        r.router = static_cast<int>(random_() % router_count);
        const double u = std::uniform_real_distribution<double>(0, 1)(random_);
        r.prefix = static_cast<int>(prefix_count * u * u * u);
        r.priority = static_cast<int>(random_() % 3);
        const int max_extra_tokens[3] = {100, 200, 300};
        r.generated_tokens =
            50 + static_cast<int>(random_() % static_cast<unsigned>(max_extra_tokens[r.priority]));
        constexpr double patience_seconds = 20;
        r.deadline_seconds = at + patience_seconds;
        return r;
    }

    void admit(const routed_request& r) {
        score_.offered += r.is_retry ? 0 : 1;
        std::vector<routing_candidate> candidates;
        auto& own = own_in_flight_[static_cast<std::size_t>(r.router)];
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            candidates.push_back({"engine-" + std::to_string(i), own[i], reported_load_[i]});
        }
        const routing_request request{std::to_string(score_.offered), stable_hash(std::to_string(r.prefix))};
        std::size_t chosen = policies_[static_cast<std::size_t>(r.router)].choose(candidates, request);
        for (int attempt = 0; attempt < 3; ++attempt) { // If an agent is full, the next one is tried.
            engine_state& e = engines_[chosen];
            if (static_cast<int>(e.queue.size()) < max_queued_requests) {
                ++own[chosen];
                e.queue.push_back(r);
                score_.accepted_retries += r.is_retry ? 1 : 0;
                e.max_queue_length = std::max(e.max_queue_length, e.queue.size());
                start_next(static_cast<int>(chosen));
                return;
            }
            chosen = (chosen + 1) % engines_.size();
        }
        score_.refused += r.is_retry ? 0 : 1;
        schedule_retry(engines_[chosen], r);
    }

    /// Schedules the caller's only retry, at the time that the agent's virtual queue assigns to it. Does
    /// nothing for a request that is already a retry.
    void schedule_retry(engine_state& e, routed_request r) {
        if (r.is_retry) {
            return;
        }
        e.last_retry_seconds =
            std::min(std::max(e.last_retry_seconds, now_seconds_) + e.mean_busy_seconds / max_batch_size,
                     now_seconds_ + max_retry_delay_seconds);
        r.is_retry = true;
        r.deadline_seconds += e.last_retry_seconds - r.at_seconds;
        retries_.push({e.last_retry_seconds, r});
    }

    void start_next(int index) {
        engine_state& e = engines_[static_cast<std::size_t>(index)];
        while (e.running_requests < max_batch_size && !e.queue.empty()) {
            auto best = e.queue.begin();
            const bool takes_oldest = ++dequeue_count_ % 4 == 0;
            for (auto it = e.queue.begin(); it != e.queue.end() && !takes_oldest; ++it) {
                best = it->priority < best->priority ? it : best;
            }
            const routed_request r = *best;
            e.queue.erase(best);
            if (r.deadline_seconds < now_seconds_) {
                --own_in_flight_[static_cast<std::size_t>(r.router)][static_cast<std::size_t>(index)];
                continue; // The request does not run, because its caller received an error at the deadline.
            }
            start(e, index, r);
        }
    }

    void start(engine_state& e, int index, const routed_request& r) {
        ++e.running_requests;
        ++score_.started;
        const auto it = std::find(e.cached_prefixes.begin(), e.cached_prefixes.end(), r.prefix);
        const bool is_cache_hit = it != e.cached_prefixes.end();
        score_.cache_hits += is_cache_hit ? 1 : 0;
        if (is_cache_hit) {
            e.cached_prefixes.erase(it);
        }
        e.cached_prefixes.push_front(r.prefix);
        if (e.cached_prefixes.size() > max_cached_prefixes) {
            e.cached_prefixes.pop_back();
        }
        const double first_token_delay_seconds = is_cache_hit ? cached_prefill_seconds : prefill_seconds;
        const double token_seconds = base_token_seconds + token_seconds_per_peer * (e.running_requests - 1);
        const double busy_seconds = first_token_delay_seconds + token_seconds * r.generated_tokens;
        score_.first_token_seconds.push_back(now_seconds_ - r.at_seconds + first_token_delay_seconds);
        score_.between_tokens_seconds.push_back(token_seconds);
        score_.wait_seconds_by_priority[r.priority].push_back(now_seconds_ - r.at_seconds);
        score_.finished_in_time +=
            now_seconds_ + busy_seconds <= r.deadline_seconds + r.generated_tokens * token_seconds ? 1 : 0;
        finishes_.push({now_seconds_ + busy_seconds, index, busy_seconds, r.router});
    }

    void finish_until(double time) {
        while (!finishes_.empty() && finishes_.top().at_seconds <= time) {
            const finish_event f = finishes_.top();
            finishes_.pop();
            now_seconds_ = f.at_seconds;
            engine_state& e = engines_[static_cast<std::size_t>(f.engine)];
            --e.running_requests;
            --own_in_flight_[static_cast<std::size_t>(f.router)][static_cast<std::size_t>(f.engine)];
            e.mean_busy_seconds += 0.1 * (f.busy_seconds - e.mean_busy_seconds);
            ++score_.finished;
            start_next(f.engine);
        }
        now_seconds_ = std::min(time, trace_seconds);
    }

    std::mt19937 random_;
    std::vector<Policy> policies_;
    double requests_per_second_ = 0;
    double now_seconds_ = 0;
    std::uint64_t dequeue_count_ = 0;
    std::vector<engine_state> engines_{engine_count};
    std::vector<std::vector<int>> own_in_flight_;
    std::vector<int> reported_load_;
    std::priority_queue<finish_event> finishes_;
    std::priority_queue<scheduled_retry> retries_;
    routing_score score_;
};

double percentile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

template <class Policy>
void add_run(Json::Value& rows, const std::string& name, double load, Policy policy) {
    seed_random_numbers(FLAGS_seed);
    const routing_score s = routing_simulation<Policy>(load, FLAGS_seed, policy).run();
    Json::Value row;
    row["policy"] = name;
    row["offered_load"] = load;
    row["offered_per_second"] = static_cast<double>(s.offered) / trace_seconds;
    row["goodput_per_second"] = static_cast<double>(s.finished_in_time) / trace_seconds;
    row["refused_share"] = static_cast<double>(s.refused) / static_cast<double>(s.offered);
    row["first_token_p95_s"] = percentile(s.first_token_seconds, 0.95);
    row["between_tokens_p95_ms"] = 1000 * percentile(s.between_tokens_seconds, 0.95);
    row["cache_hit_share"] =
        static_cast<double>(s.cache_hits) / static_cast<double>(std::max<std::size_t>(s.started, 1));
    row["worst_queue"] = Json::UInt64(s.max_queue_length);
    row["wait_high_p95_s"] = percentile(s.wait_seconds_by_priority[0], 0.95);
    row["wait_low_p95_s"] = percentile(s.wait_seconds_by_priority[2], 0.95);
    row["place_found_when_back_share"] =
        static_cast<double>(s.accepted_retries) / static_cast<double>(std::max<std::size_t>(s.retries, 1));
    rows.append(row);
}

} // namespace
} // namespace eelgrassgw::bench

int main(int argc, char** argv) {
    using namespace eelgrassgw;
    using namespace eelgrassgw::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Json::Value document;
    document["seed"] = FLAGS_seed;
    for (const double load : {0.5, 0.8, 1.0, 2.0, 5.0}) {
        add_run(document["rows"], "round robin", load, round_robin_policy{});
        add_run(document["rows"], "least reported load", load, least_reported_policy{});
        add_run(document["rows"], "power of two choices", load, power_of_two_policy{});
        add_run(document["rows"], "bounded affinity (chosen)", load, bounded_affinity_policy{});
    }
    std::cout << to_pretty_text(document);
}

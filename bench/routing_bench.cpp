/// Compares routing policies and admission under overload, in virtual time, over engines with a bounded batch
/// and a prefix cache whose load reports lag. Prints one JSON document.

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
constexpr int batch = 16;
constexpr int queue_bound = 32;
constexpr double base_token_seconds = 0.012;      ///< Alone in the batch.
constexpr double token_seconds_per_peer = 0.0012; ///< More for each other request of the batch.
constexpr double prefill_seconds = 0.30;
constexpr double cached_prefill_seconds = 0.05;
constexpr std::size_t cached_prefixes = 40;
constexpr double report_lag_seconds = 2;
constexpr double longest_promise = 60;
constexpr double trace_seconds = 400;
constexpr int prefixes = 300; ///< Different prompt beginnings; a few are frequent.

struct routed_request {
    double at = 0;
    int router = 0;
    int prefix = 0;
    int priority = 1; ///< 0 is high, 2 is low.
    int generated = 0;
    double deadline = 0;
    bool comes_back = false; ///< It was refused before.
};

struct returning {
    double at = 0;
    routed_request request;
    bool operator<(const returning& other) const { return at > other.at; }
};

struct engine_state {
    int running = 0;
    std::deque<routed_request> queue;
    std::deque<int> cache;
    std::size_t worst_queue = 0;
    double mean_busy = 4;
    double last_promise = 0;
};

struct finish_event {
    double at = 0;
    int engine = 0;
    double busy = 0;
    int router = 0;
    bool operator<(const finish_event& other) const { return at > other.at; }
};

struct routing_score {
    std::size_t offered = 0;
    std::size_t finished = 0;
    std::size_t in_deadline = 0;
    std::size_t refused = 0;
    std::size_t hits = 0;
    std::size_t started = 0;
    std::vector<double> first_token;
    std::vector<double> between_tokens;
    std::size_t came_back = 0;       ///< Refused callers that came back when they were told to.
    std::size_t taken_when_back = 0; ///< Of these, how many found a place.
    std::vector<double> wait_by_priority[3];
    std::size_t worst_queue = 0;
};

template <routing_policy Policy>
class routing_simulation {
public:
    routing_simulation(double load, unsigned seed, Policy policy)
        : random_(seed), policies_(router_count, policy) {
        constexpr double mean_generated = 150;
        constexpr double full_token_seconds = base_token_seconds + token_seconds_per_peer * batch;
        const double capacity =
            engine_count * batch / (prefill_seconds / 2 + mean_generated * full_token_seconds);
        rate_ = load * capacity;
        own_in_flight_.assign(router_count, std::vector<int>(engine_count));
        reported_.assign(engine_count, 0);
    }

    routing_score run() {
        std::exponential_distribution<double> gap(rate_);
        double next_report = 0;
        for (double at = gap(random_); at < trace_seconds; at += gap(random_)) {
            come_back_until(at);
            finish_until(at);
            while (next_report <= at) {
                for (std::size_t i = 0; i < engines_.size(); ++i) {
                    reported_[i] = engines_[i].running + static_cast<int>(engines_[i].queue.size());
                }
                next_report += report_lag_seconds;
            }
            admit(draw(at));
        }
        returns_ = {};
        finish_until(1e9);
        for (const engine_state& e : engines_) {
            score_.worst_queue = std::max(score_.worst_queue, e.worst_queue);
        }
        return std::move(score_);
    }

private:
    void come_back_until(double time) {
        while (!returns_.empty() && returns_.top().at <= time) {
            routed_request r = returns_.top().request;
            finish_until(returns_.top().at);
            r.at = returns_.top().at;
            returns_.pop();
            ++score_.came_back;
            now_ = r.at;
            admit(r);
        }
    }

    routed_request draw(double at) {
        routed_request r;
        r.at = at;
        now_ = at;
        r.router = static_cast<int>(random_() % router_count);
        const double u = std::uniform_real_distribution<double>(0, 1)(random_);
        r.prefix = static_cast<int>(prefixes * u * u * u);
        r.priority = static_cast<int>(random_() % 3);
        const int longest[3] = {100, 200, 300};
        r.generated = 50 + static_cast<int>(random_() % static_cast<unsigned>(longest[r.priority]));
        constexpr double patience_seconds = 20;
        r.deadline = at + patience_seconds;
        return r;
    }

    void admit(const routed_request& r) {
        score_.offered += r.comes_back ? 0 : 1;
        std::vector<routing_candidate> candidates;
        auto& own = own_in_flight_[static_cast<std::size_t>(r.router)];
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            candidates.push_back({"engine-" + std::to_string(i), own[i], reported_[i]});
        }
        const routing_request request{std::to_string(score_.offered), stable_hash(std::to_string(r.prefix))};
        std::size_t chosen = policies_[static_cast<std::size_t>(r.router)].choose(candidates, request);
        for (int attempt = 0; attempt < 3; ++attempt) { // A full agent refuses, and another one is tried.
            engine_state& e = engines_[chosen];
            if (static_cast<int>(e.queue.size()) < queue_bound) {
                ++own[chosen];
                e.queue.push_back(r);
                score_.taken_when_back += r.comes_back ? 1 : 0;
                e.worst_queue = std::max(e.worst_queue, e.queue.size());
                start_next(static_cast<int>(chosen));
                return;
            }
            chosen = (chosen + 1) % engines_.size();
        }
        score_.refused += r.comes_back ? 0 : 1;
        promise(engines_[chosen], r);
    }

    /// The caller comes back once, at the time that the agent's virtual queue gives it.
    void promise(engine_state& e, routed_request r) {
        if (r.comes_back) {
            return;
        }
        e.last_promise =
            std::min(std::max(e.last_promise, now_) + e.mean_busy / batch, now_ + longest_promise);
        r.comes_back = true;
        r.deadline += e.last_promise - r.at;
        returns_.push({e.last_promise, r});
    }

    void start_next(int index) {
        engine_state& e = engines_[static_cast<std::size_t>(index)];
        while (e.running < batch && !e.queue.empty()) {
            auto best = e.queue.begin();
            const bool oldest_first = ++e_starts_ % 4 == 0;
            for (auto it = e.queue.begin(); it != e.queue.end() && !oldest_first; ++it) {
                best = it->priority < best->priority ? it : best;
            }
            const routed_request r = *best;
            e.queue.erase(best);
            if (r.deadline < now_) {
                --own_in_flight_[static_cast<std::size_t>(r.router)][static_cast<std::size_t>(index)];
                continue; // Not run: its caller was told so at its deadline.
            }
            start(e, index, r);
        }
    }

    void start(engine_state& e, int index, const routed_request& r) {
        ++e.running;
        ++score_.started;
        const auto it = std::find(e.cache.begin(), e.cache.end(), r.prefix);
        const bool hit = it != e.cache.end();
        score_.hits += hit ? 1 : 0;
        if (hit) {
            e.cache.erase(it);
        }
        e.cache.push_front(r.prefix);
        if (e.cache.size() > cached_prefixes) {
            e.cache.pop_back();
        }
        const double prefill = hit ? cached_prefill_seconds : prefill_seconds;
        const double between = base_token_seconds + token_seconds_per_peer * (e.running - 1);
        const double busy = prefill + between * r.generated;
        score_.first_token.push_back(now_ - r.at + prefill);
        score_.between_tokens.push_back(between);
        score_.wait_by_priority[r.priority].push_back(now_ - r.at);
        score_.in_deadline += now_ + busy <= r.deadline + r.generated * between ? 1 : 0;
        finishes_.push({now_ + busy, index, busy, r.router});
    }

    void finish_until(double time) {
        while (!finishes_.empty() && finishes_.top().at <= time) {
            const finish_event f = finishes_.top();
            finishes_.pop();
            now_ = f.at;
            engine_state& e = engines_[static_cast<std::size_t>(f.engine)];
            --e.running;
            --own_in_flight_[static_cast<std::size_t>(f.router)][static_cast<std::size_t>(f.engine)];
            e.mean_busy += 0.1 * (f.busy - e.mean_busy);
            ++score_.finished;
            start_next(f.engine);
        }
        now_ = std::min(time, trace_seconds);
    }

    std::mt19937 random_;
    std::vector<Policy> policies_;
    double rate_ = 0;
    double now_ = 0;
    std::uint64_t e_starts_ = 0;
    std::vector<engine_state> engines_{engine_count};
    std::vector<std::vector<int>> own_in_flight_;
    std::vector<int> reported_;
    std::priority_queue<finish_event> finishes_;
    std::priority_queue<returning> returns_;
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
    row["goodput_per_second"] = static_cast<double>(s.in_deadline) / trace_seconds;
    row["refused_share"] = static_cast<double>(s.refused) / static_cast<double>(s.offered);
    row["first_token_p95_s"] = percentile(s.first_token, 0.95);
    row["between_tokens_p95_ms"] = 1000 * percentile(s.between_tokens, 0.95);
    row["cache_hit_share"] =
        static_cast<double>(s.hits) / static_cast<double>(std::max<std::size_t>(s.started, 1));
    row["worst_queue"] = Json::UInt64(s.worst_queue);
    row["wait_high_p95_s"] = percentile(s.wait_by_priority[0], 0.95);
    row["wait_low_p95_s"] = percentile(s.wait_by_priority[2], 0.95);
    row["place_found_when_back_share"] =
        static_cast<double>(s.taken_when_back) / static_cast<double>(std::max<std::size_t>(s.came_back, 1));
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

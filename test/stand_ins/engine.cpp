/// Stand-in for a model engine that offers continuous batching, a prefix cache, priorities, resumable
/// streams, cancellation and fencing. Its answer depends only on the prompt, so that the checker of the
/// system tests can tell which prompt an answer belongs to.

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/json.h"
#include "test/stand_ins/stand_in.h"
#include "test/stand_ins/stand_in_answer.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <thread>

DEFINE_string(listen, "127.0.0.1:0", "address and port");
DEFINE_int32(token_ms, 5, "time in ms between two tokens");
DEFINE_int32(prefill_ms, 20, "time in ms to process a prompt without a cache hit");
DEFINE_int32(batch, 8, "maximum number of requests that generate tokens concurrently");
DEFINE_int32(cached_prefixes, 64, "number of prompt prefixes that the cache holds");
DEFINE_int32(report_lag_ms, 500, "maximum age of the load report in ms");
DEFINE_bool(checks_orders, false, "refuse requests and cancellations with an outdated fencing number");

namespace eelgrassgw::stand_in {

/// One request to complete a prompt, and its progress.
struct completion {
    std::string prompt;
    int priority_rank = 1; ///< Rank of the priority: 0 is high, 1 is normal and 2 is low.
    tokens prompt_tokens = 0;
    std::int64_t begun_at_ms = now_ms(); ///< Time of the request, in ms by the system clock.
    tokens requested_tokens = 0;         ///< Number of tokens to generate.
    tokens generated_tokens = 0;         ///< Number of tokens generated so far.
    std::string finish_reason;           ///< Reason why the completion ended; empty until it ends.
    bool cancelled = false;              ///< Whether a request to cancel the completion has arrived.
    bool cache_hit = false;              ///< Whether the cache contained the prefix of the prompt.
};

/// Handles the engine's requests. Each completion is generated on a thread of its own and continues if its
/// caller disconnects.
class engine {
public:
    void handle(const http_request& request, http_exchange& exchange) {
        const std::string completions = "/v1/chat/completions";
        if (request.path == completions) {
            start_run(request, exchange);
        } else if (request.path.starts_with(completions + "/")) {
            const tokens from = std::strtoll(request.parameter("from").c_str(), nullptr, 10);
            stream_answer(request.path.substr(completions.size() + 1), from, exchange);
        } else if (request.path == "/v1/cancel" || request.path == "/v1/cancel_all") {
            cancel(request, exchange);
        } else if (request.path == "/v1/runs") {
            send_runs(exchange);
        } else if (request.path.starts_with("/v1/runs/")) {
            send_run(request.path.substr(std::string("/v1/runs/").size()), exchange);
        } else if (request.path == "/v1/load") {
            send_load(exchange);
        } else if (request.path == "/v1/cache_events") {
            send_cache_events(request, exchange);
        } else {
            exchange.send({404, {}, ""});
        }
    }

private:
    /// Parses a JSON body. Returns an empty object if the body is not JSON.
    static Json::Value parse(const std::string& text) {
        const result<Json::Value> parsed = parse_json(text);
        return parsed ? parsed.value() : Json::Value(Json::objectValue);
    }

    /// Records the fencing number of a request. Returns false if the request must be refused because a later
    /// fencing number has been seen.
    bool accept_fencing_number(const Json::Value& body) {
        const auto fencing = static_cast<std::uint64_t>(int_member(body, "fencing"));
        if (FLAGS_checks_orders && fencing < highest_fencing_number_) {
            return false;
        }
        highest_fencing_number_ = std::max(highest_fencing_number_, fencing);
        return true;
    }

    /// Starts a completion, unless it is outdated, repeated or already cancelled, and streams its answer.
    void start_run(const http_request& request, http_exchange& exchange) {
        const Json::Value body = parse(request.body);
        const std::string id = string_member(body, "request_id");
        {
            const std::lock_guard lock(mutex_);
            if (!accept_fencing_number(body) || runs_.contains(id) || cancelled_before_start_.contains(id)) {
                exchange.send({409, {}, "order refused\n"});
                return;
            }
            completion& run = runs_[id];
            run.prompt = prompt_text(member(body, "messages"));
            run.prompt_tokens = prompt_token_count(run.prompt);
            run.requested_tokens = std::min(answer_length(run.prompt), int_member(body, "max_tokens", 16));
            const std::string priority = string_member(body, "priority", "normal");
            run.priority_rank = priority == "high" ? 0 : (priority == "low" ? 2 : 1);
            run.cache_hit = record_prefix_use(run.prompt);
        }
        std::thread([this, id] { generate(id); }).detach();
        stream_answer(id, 0, exchange);
    }

    /// Moves the prefix of the prompt, its first 256 bytes, to the front of the cache and evicts the least
    /// recently used prefix if the cache is full. Returns whether the prefix was cached.
    bool record_prefix_use(const std::string& prompt) {
        const std::uint64_t prefix = stable_hash(prompt.substr(0, 256));
        const auto it = std::find(cached_prefixes_.begin(), cached_prefixes_.end(), prefix);
        const bool hit = it != cached_prefixes_.end();
        if (hit) {
            cached_prefixes_.erase(it);
        }
        cached_prefixes_.push_front(prefix);
        cache_events_.push_back(prefix);
        if (cached_prefixes_.size() > static_cast<std::size_t>(FLAGS_cached_prefixes)) {
            cached_prefixes_.pop_back();
        }
        return hit;
    }

    /// Waits for a place in the batch, and generates the tokens of a completion.
    void generate(const std::string& id) {
        std::unique_lock lock(mutex_);
        completion& run = runs_[id];
        waiting_runs_.push_back(&run);
        changed_.wait(lock, [&] { return run.cancelled || (running_count_ < FLAGS_batch && is_next(run)); });
        waiting_runs_.remove(&run);
        ++running_count_;
        sleep_unlocked(lock, run.cache_hit ? FLAGS_prefill_ms / 4 : FLAGS_prefill_ms);
        while (!run.cancelled && run.generated_tokens < run.requested_tokens) {
            sleep_unlocked(lock, FLAGS_token_ms);
            ++run.generated_tokens;
            changed_.notify_all();
        }
        const bool is_complete = run.generated_tokens == answer_length(run.prompt);
        run.finish_reason = run.cancelled ? "cancelled" : (is_complete ? "stop" : "length");
        --running_count_;
        changed_.notify_all();
    }

    /// Returns whether no waiting completion has a higher priority than `run`.
    bool is_next(const completion& run) const {
        return std::none_of(waiting_runs_.begin(), waiting_runs_.end(), [&](const completion* other) {
            return other->priority_rank < run.priority_rank;
        });
    }

    /// Releases the lock while the thread sleeps.
    static void sleep_unlocked(std::unique_lock<std::mutex>& lock, int duration_ms) {
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
        lock.lock();
    }

    /// Streams the answer as server-sent events, starting at token number `from`.
    void stream_answer(const std::string& id, tokens from, http_exchange& exchange) {
        std::unique_lock lock(mutex_);
        const auto it = runs_.find(id);
        if (it == runs_.end()) {
            exchange.send({404, {}, ""});
            return;
        }
        completion& run = it->second;
        lock.unlock();
        bool is_connected = exchange.begin_stream(200, {{"content-type", "text/event-stream"}});
        lock.lock();
        for (tokens sent = from; is_connected; ++sent) {
            changed_.wait(lock, [&] { return run.generated_tokens > sent || !run.finish_reason.empty(); });
            const bool at_end = run.generated_tokens <= sent;
            Json::Value event = make_event(run, at_end ? run.generated_tokens : sent + 1);
            Json::Value choice;
            choice["delta"]["content"] = at_end ? "" : answer_token(run.prompt, sent);
            choice["finish_reason"] = at_end ? Json::Value(run.finish_reason) : Json::Value();
            event["choices"].append(choice);
            lock.unlock();
            is_connected = exchange.write("data: " + to_text(event) + "\n\n");
            lock.lock();
            if (at_end) {
                break;
            }
        }
        lock.unlock();
        if (is_connected && exchange.write("data: [DONE]\n\n")) {
            exchange.end_stream();
        }
    }

    /// Returns a chunk of the stream that reports `completion_tokens` generated tokens, without its choices.
    static Json::Value make_event(const completion& run, tokens completion_tokens) {
        Json::Value event;
        event["object"] = "chat.completion.chunk";
        event["usage"]["prompt_tokens"] = Json::Int64(run.prompt_tokens);
        event["usage"]["completion_tokens"] = Json::Int64(completion_tokens);
        return event;
    }

    /// Cancels one completion, or all if the request names none. A named completion that has not arrived yet
    /// is refused when it does.
    void cancel(const http_request& request, http_exchange& exchange) {
        const Json::Value body = parse(request.body);
        const std::lock_guard lock(mutex_);
        if (!accept_fencing_number(body)) {
            exchange.send({409, {}, "order refused\n"});
            return;
        }
        const std::string id = string_member(body, "request_id");
        if (!id.empty() && !runs_.contains(id)) {
            cancelled_before_start_.insert(id);
        }
        for (auto& [run_id, run] : runs_) {
            run.cancelled = run.cancelled || id.empty() || run_id == id;
        }
        changed_.notify_all();
        exchange.send(json_response(200, Json::Value(Json::objectValue)));
    }

    /// Returns the state of a completion in the form that callers and the checker read.
    static Json::Value describe(const std::string& id, const completion& run) {
        Json::Value entry;
        entry["request_id"] = id;
        entry["prompt"] = run.prompt;
        entry["prompt_tokens"] = Json::Int64(run.prompt_tokens);
        entry["completion_tokens"] = Json::Int64(run.generated_tokens);
        entry["begun_at_ms"] = Json::Int64(run.begun_at_ms);
        entry["finish"] = run.finish_reason;
        entry["cache_hit"] = run.cache_hit;
        return entry;
    }

    /// Sends the state of a completion. If it has been cancelled, waits until it has stopped generating.
    void send_run(const std::string& id, http_exchange& exchange) {
        std::unique_lock lock(mutex_);
        const auto it = runs_.find(id);
        if (it == runs_.end()) {
            exchange.send({404, {}, ""});
            return;
        }
        if (it->second.cancelled) {
            changed_.wait(lock, [&] { return !it->second.finish_reason.empty(); });
        }
        exchange.send(json_response(200, describe(id, it->second)));
    }

    /// Sends the states of all completions.
    void send_runs(http_exchange& exchange) {
        const std::lock_guard lock(mutex_);
        Json::Value all(Json::arrayValue);
        for (const auto& [id, run] : runs_) {
            all.append(describe(id, run));
        }
        exchange.send(json_response(200, all));
    }

    /// Sends the numbers of running and waiting completions. The report may be as old as `--report_lag_ms`.
    void send_load(http_exchange& exchange) {
        const std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        if (now - load_report_time_ > std::chrono::milliseconds(FLAGS_report_lag_ms)) {
            load_report_["running"] = running_count_;
            load_report_["queued"] = Json::UInt64(waiting_runs_.size());
            load_report_time_ = now;
        }
        exchange.send(json_response(200, load_report_));
    }

    /// Sends the cache events from number `since` on. The last three events are withheld until more events
    /// follow, and every seventh event is missing.
    void send_cache_events(const http_request& request, http_exchange& exchange) {
        const std::lock_guard lock(mutex_);
        const std::size_t since = std::strtoull(request.parameter("since").c_str(), nullptr, 10);
        Json::Value events(Json::arrayValue);
        for (std::size_t i = since; i + 3 < cache_events_.size(); ++i) {
            if (i % 7 != 6) {
                events.append(Json::UInt64(cache_events_[i]));
            }
        }
        exchange.send(json_response(200, events));
    }

    std::mutex mutex_;
    std::condition_variable changed_;        ///< Notified when a completion progresses, ends or is cancelled.
    std::map<std::string, completion> runs_; ///< All completions, including finished ones, by request id.

    /// Ids of requests that were cancelled before they arrived.
    std::set<std::string> cancelled_before_start_;

    std::list<completion*> waiting_runs_;       ///< Completions that wait for a place in the batch.
    std::deque<std::uint64_t> cached_prefixes_; ///< Hashes of the cached prefixes, the most recent one first.
    std::vector<std::uint64_t> cache_events_;   ///< Hashes of the prefixes of all requests, in order.
    std::uint64_t highest_fencing_number_ = 0;  ///< Highest fencing number of any accepted request.
    int running_count_ = 0;                     ///< Number of completions in the batch.
    Json::Value load_report_{Json::objectValue}; ///< Most recent load report.

    /// Time of the load report by the steady clock.
    std::chrono::steady_clock::time_point load_report_time_{};
};

} // namespace eelgrassgw::stand_in

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    eelgrassgw::stand_in::engine engine;
    return eelgrassgw::stand_in::serve(
        FLAGS_listen, [&](const auto& request, auto& exchange) { engine.handle(request, exchange); });
}

/// Stand-in for a model engine: continuous batching, prefix cache, priorities, resume, cancel, fencing.
/// Its answer to a prompt is a fixed function of the prompt, so that a checker can tell whose answer it is.

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
DEFINE_int32(token_ms, 5, "time between two tokens");
DEFINE_int32(prefill_ms, 20, "time to the first token without a cache hit");
DEFINE_int32(batch, 8, "requests that generate at once");
DEFINE_int32(cached_prefixes, 64, "prompt beginnings that fit into the cache");
DEFINE_int32(report_lag_ms, 500, "age of the load report");
DEFINE_bool(checks_orders, false, "refuse orders with an old fencing number");

namespace eelgrassgw::stand_in {

struct completion {
    std::string prompt;
    int rank = 1;
    tokens prompt_tokens = 0;
    std::int64_t begun_at_ms = now_ms();
    tokens wanted = 0;
    tokens generated = 0;
    std::string finish; ///< Empty while it goes on.
    bool cancelled = false;
    bool cache_hit = false;
};

class engine {
public:
    void handle(const http_request& request, http_exchange& exchange) {
        const std::string completions = "/v1/chat/completions";
        if (request.path == completions) {
            begin(request, exchange);
        } else if (request.path.starts_with(completions + "/")) {
            const tokens from = std::strtoll(request.parameter("from").c_str(), nullptr, 10);
            stream(request.path.substr(completions.size() + 1), from, exchange);
        } else if (request.path == "/v1/cancel" || request.path == "/v1/cancel_all") {
            cancel(request, exchange);
        } else if (request.path == "/v1/runs") {
            list_runs(exchange);
        } else if (request.path.starts_with("/v1/runs/")) {
            show_run(request.path.substr(std::string("/v1/runs/").size()), exchange);
        } else if (request.path == "/v1/load") {
            show_load(exchange);
        } else if (request.path == "/v1/cache_events") {
            show_cache_events(request, exchange);
        } else {
            exchange.send({404, {}, ""});
        }
    }

private:
    static Json::Value parse(const std::string& text) {
        const result<Json::Value> parsed = parse_json(text);
        return parsed ? parsed.value() : Json::Value(Json::objectValue);
    }

    bool accepts_order(const Json::Value& body) {
        const auto fencing = static_cast<std::uint64_t>(int_member(body, "fencing"));
        if (FLAGS_checks_orders && fencing < highest_fencing_) {
            return false;
        }
        highest_fencing_ = std::max(highest_fencing_, fencing);
        return true;
    }

    void begin(const http_request& request, http_exchange& exchange) {
        const Json::Value body = parse(request.body);
        const std::string id = string_member(body, "request_id");
        {
            const std::lock_guard lock(mutex_);
            if (!accepts_order(body) || runs_.contains(id) || barred_.contains(id)) {
                exchange.send({409, {}, "order refused\n"});
                return;
            }
            completion& run = runs_[id];
            run.prompt = prompt_text(member(body, "messages"));
            run.prompt_tokens = prompt_token_count(run.prompt);
            run.wanted = std::min(answer_length(run.prompt), int_member(body, "max_tokens", 16));
            const std::string priority = string_member(body, "priority", "normal");
            run.rank = priority == "high" ? 0 : (priority == "low" ? 2 : 1);
            run.cache_hit = touch_prefix(run.prompt);
        }
        std::thread([this, id] { generate(id); }).detach();
        stream(id, 0, exchange);
    }

    bool touch_prefix(const std::string& prompt) {
        const std::uint64_t prefix = stable_hash(prompt.substr(0, 256));
        const auto it = std::find(cache_.begin(), cache_.end(), prefix);
        const bool hit = it != cache_.end();
        if (hit) {
            cache_.erase(it);
        }
        cache_.push_front(prefix);
        cache_events_.push_back(prefix);
        if (cache_.size() > static_cast<std::size_t>(FLAGS_cached_prefixes)) {
            cache_.pop_back();
        }
        return hit;
    }

    void generate(const std::string& id) {
        std::unique_lock lock(mutex_);
        completion& run = runs_[id];
        waiting_.push_back(&run);
        changed_.wait(lock, [&] { return run.cancelled || (running_ < FLAGS_batch && is_next(run)); });
        waiting_.remove(&run);
        ++running_;
        pause(lock, run.cache_hit ? FLAGS_prefill_ms / 4 : FLAGS_prefill_ms);
        while (!run.cancelled && run.generated < run.wanted) {
            pause(lock, FLAGS_token_ms);
            ++run.generated;
            changed_.notify_all();
        }
        const bool whole = run.generated == answer_length(run.prompt);
        run.finish = run.cancelled ? "cancelled" : (whole ? "stop" : "length");
        --running_;
        changed_.notify_all();
    }

    bool is_next(const completion& run) const {
        return std::none_of(waiting_.begin(), waiting_.end(),
                            [&](const completion* other) { return other->rank < run.rank; });
    }

    static void pause(std::unique_lock<std::mutex>& lock, int ms) {
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
        lock.lock();
    }

    void stream(const std::string& id, tokens from, http_exchange& exchange) {
        std::unique_lock lock(mutex_);
        const auto it = runs_.find(id);
        if (it == runs_.end()) {
            exchange.send({404, {}, ""});
            return;
        }
        completion& run = it->second;
        lock.unlock();
        bool alive = exchange.begin_stream(200, {{"content-type", "text/event-stream"}});
        lock.lock();
        for (tokens sent = from; alive; ++sent) {
            changed_.wait(lock, [&] { return run.generated > sent || !run.finish.empty(); });
            const bool at_end = run.generated <= sent;
            Json::Value event = make_event(run, at_end ? run.generated : sent + 1);
            Json::Value choice;
            choice["delta"]["content"] = at_end ? "" : answer_token(run.prompt, sent);
            choice["finish_reason"] = at_end ? Json::Value(run.finish) : Json::Value();
            event["choices"].append(choice);
            lock.unlock();
            alive = exchange.write("data: " + to_text(event) + "\n\n");
            lock.lock();
            if (at_end) {
                break;
            }
        }
        lock.unlock();
        if (alive && exchange.write("data: [DONE]\n\n")) {
            exchange.end_stream();
        }
    }

    static Json::Value make_event(const completion& run, tokens completed) {
        Json::Value event;
        event["object"] = "chat.completion.chunk";
        event["usage"]["prompt_tokens"] = Json::Int64(run.prompt_tokens);
        event["usage"]["completion_tokens"] = Json::Int64(completed);
        return event;
    }

    void cancel(const http_request& request, http_exchange& exchange) {
        const Json::Value body = parse(request.body);
        const std::lock_guard lock(mutex_);
        if (!accepts_order(body)) {
            exchange.send({409, {}, "order refused\n"});
            return;
        }
        const std::string id = string_member(body, "request_id");
        if (!id.empty() && !runs_.contains(id)) {
            barred_.insert(id);
        }
        for (auto& [name, run] : runs_) {
            run.cancelled = run.cancelled || id.empty() || name == id;
        }
        changed_.notify_all();
        exchange.send(json_response(200, Json::Value(Json::objectValue)));
    }

    static Json::Value describe(const std::string& id, const completion& run) {
        Json::Value entry;
        entry["request_id"] = id;
        entry["prompt"] = run.prompt;
        entry["prompt_tokens"] = Json::Int64(run.prompt_tokens);
        entry["completion_tokens"] = Json::Int64(run.generated);
        entry["begun_at_ms"] = Json::Int64(run.begun_at_ms);
        entry["finish"] = run.finish;
        entry["cache_hit"] = run.cache_hit;
        return entry;
    }

    void show_run(const std::string& id, http_exchange& exchange) {
        std::unique_lock lock(mutex_);
        const auto it = runs_.find(id);
        if (it == runs_.end()) {
            exchange.send({404, {}, ""});
            return;
        }
        if (it->second.cancelled) {
            changed_.wait(lock, [&] { return !it->second.finish.empty(); });
        }
        exchange.send(json_response(200, describe(id, it->second)));
    }

    void list_runs(http_exchange& exchange) {
        const std::lock_guard lock(mutex_);
        Json::Value all(Json::arrayValue);
        for (const auto& [id, run] : runs_) {
            all.append(describe(id, run));
        }
        exchange.send(json_response(200, all));
    }

    void show_load(http_exchange& exchange) {
        const std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        if (now - reported_at_ > std::chrono::milliseconds(FLAGS_report_lag_ms)) {
            reported_["running"] = running_;
            reported_["queued"] = Json::UInt64(waiting_.size());
            reported_at_ = now;
        }
        exchange.send(json_response(200, reported_));
    }

    /// Late, and with every seventh event missing.
    void show_cache_events(const http_request& request, http_exchange& exchange) {
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
    std::condition_variable changed_;
    std::map<std::string, completion> runs_;
    std::set<std::string> barred_;
    std::list<completion*> waiting_;
    std::deque<std::uint64_t> cache_;
    std::vector<std::uint64_t> cache_events_;
    std::uint64_t highest_fencing_ = 0;
    int running_ = 0;
    Json::Value reported_{Json::objectValue};
    std::chrono::steady_clock::time_point reported_at_{};
};

} // namespace eelgrassgw::stand_in

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    eelgrassgw::stand_in::engine engine;
    return eelgrassgw::stand_in::serve(
        FLAGS_listen, [&](const auto& request, auto& exchange) { engine.handle(request, exchange); });
}

#include "eelgrassgw/agent/engine_backend.h"

namespace eelgrassgw {

namespace {

constexpr int max_resumptions = 2;
/// Largest output of one run, in bytes. A sound engine ends a run at its number of tokens, far below this.
constexpr std::size_t max_output_bytes = 8U << 20U;
/// Largest answer to a question or a command, in bytes.
constexpr std::size_t max_control_reply_bytes = 256U << 10U;
constexpr int ok_status = 200;
// The timeouts are short because an old load report is useless and the agent's other maintenance work waits
// for the reply.
const http_timeouts load_timeouts{std::chrono::milliseconds(500), std::chrono::milliseconds(500)};
const std::string event_prefix = "data: ";
const std::string end_marker = "[DONE]";

http_request completion_request(const ticket& t, std::uint64_t fencing_number) {
    const result<Json::Value> prompt = parse_json(t.body);
    Json::Value body = prompt && prompt.value().isObject() ? prompt.value() : Json::Value(Json::objectValue);
    body["model"] = t.model;
    body["max_tokens"] = Json::Int64(t.max_tokens);
    body["stream"] = true;
    body["stream_options"]["include_usage"] = true;
    body["stream_options"]["continuous_usage_stats"] = true;
    body["priority"] = t.priority;
    body["request_id"] = t.request_id + "." + std::to_string(t.attempt);
    body["fencing"] = Json::UInt64(fencing_number);
    http_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.failpoint_name = "call_engine";
    request.headers["content-type"] = "application/json";
    request.body = to_text(body);
    return request;
}

std::string engine_run_id(const ticket& t) {
    return t.request_id + "." + std::to_string(t.attempt);
}

run_outcome not_run(const std::string& cause) {
    run_outcome outcome;
    outcome.state = run_state::not_run;
    outcome.message = cause;
    return outcome;
}

/// Returns true if the run must end now even though the engine could continue.
bool should_stop(const run& r) {
    const run_outcome outcome = r.outcome();
    return r.cancel_requested() || std::chrono::steady_clock::now() > r.deadline() ||
           outcome.used > r.assigned_ticket().reserved;
}

void apply_event(run& r, const Json::Value& event, std::string& finish_reason) {
    const Json::Value& usage = member(event, "usage");
    if (usage.isObject()) {
        r.set_prompt_tokens(int_member(usage, "prompt_tokens"));
    }
    const Json::Value& choices = member(event, "choices");
    if (!choices.isArray() || choices.empty()) {
        return;
    }
    const Json::Value& choice = choices[0];
    const std::string text = string_member(member(choice, "delta"), "content");
    const tokens generated = int_member(usage, "completion_tokens") - r.outcome().generated_tokens;
    if (!text.empty() || generated > 0) {
        r.append_output(text, std::max<tokens>(generated, 0));
    }
    finish_reason = string_member(choice, "finish_reason", finish_reason);
}

run_outcome make_final_outcome(const run& r, const std::string& finish_reason) {
    run_outcome outcome = r.outcome();
    outcome.finish_reason = finish_reason;
    const bool complete = finish_reason == "stop" || finish_reason == "length";
    outcome.state = complete ? run_state::done : run_state::cancelled;
    if (!complete) {
        outcome.message = "the run was stopped: " + finish_reason;
    }
    return outcome;
}

} // namespace

std::optional<run_outcome> engine_backend::read_events(http_stream& stream, run& r,
                                                       std::uint64_t fencing_number) {
    std::string line;
    std::string finish_reason;
    std::optional<std::chrono::steady_clock::time_point> cancelled_at;
    while (stream.read_line(line)) {
        if (!cancelled_at && should_stop(r)) {
            cancelled_at = std::chrono::steady_clock::now();
            (void)cancel(engine_run_id(r.assigned_ticket()), fencing_number);
        }
        const bool ignores_cancellation =
            cancelled_at && std::chrono::steady_clock::now() - *cancelled_at > timeouts_.read;
        if (ignores_cancellation || r.output_size() > max_output_bytes) {
            return std::nullopt; // An engine in trouble may go on without end.
        }
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (!line.starts_with(event_prefix)) {
            continue;
        }
        const std::string data = line.substr(event_prefix.size());
        if (data == end_marker) {
            return make_final_outcome(r, finish_reason);
        }
        const result<Json::Value> event = parse_json(data);
        if (!event) {
            return std::nullopt;
        }
        apply_event(r, event.value(), finish_reason);
    }
    return std::nullopt;
}

run_outcome engine_backend::execute(run& r, std::uint64_t fencing_number) {
    result<std::unique_ptr<http_stream>> stream =
        open_http_stream(engine_, completion_request(r.assigned_ticket(), fencing_number), timeouts_);
    if (stream.failed_with(errc::unreachable)) {
        return not_run(stream.error().text());
    }
    if (stream && stream.value()->status() != 200) {
        return settle_refused_run(r, fencing_number,
                                  "the engine refused with status " +
                                      std::to_string(stream.value()->status()) + ": " +
                                      stream.value()->read_rest());
    }
    std::optional<run_outcome> ended =
        stream ? read_events(*stream.value(), r, fencing_number) : std::nullopt;
    const std::string cause = stream ? "the engine's stream broke" : stream.error().text();
    for (int i = 0; i < max_resumptions && !ended; ++i) {
        http_request request;
        request.path = "/v1/chat/completions/" + engine_run_id(r.assigned_ticket());
        request.query = "from=" + std::to_string(r.outcome().generated_tokens);
        stream = open_http_stream(engine_, request, timeouts_);
        if (stream && stream.value()->status() == 404 && r.outcome().used == 0) {
            break; // The first request may still arrive; its usage is queried below.
        }
        if (stream && stream.value()->status() == 200) {
            ended = read_events(*stream.value(), r, fencing_number);
        }
    }
    return ended ? *ended : settle_broken_run(r, fencing_number, cause);
}

result<http_response> engine_backend::ask_for_run(const std::string& id) {
    http_request request;
    request.path = "/v1/runs/" + id;
    request.max_reply_bytes = max_control_reply_bytes;
    return call_http(engine_, request, timeouts_);
}

run_outcome engine_backend::settle_refused_run(run& r, std::uint64_t fencing_number,
                                               const std::string& cause) {
    const result<http_response> known = ask_for_run(engine_run_id(r.assigned_ticket()));
    constexpr int not_found = 404;
    if (known && known.value().status == not_found) {
        return not_run(cause);
    }
    return settle_broken_run(r, fencing_number, cause);
}

run_outcome engine_backend::settle_broken_run(run& r, std::uint64_t fencing_number,
                                              const std::string& cause) {
    const std::string id = engine_run_id(r.assigned_ticket());
    const result<done> cancelled = cancel(id, fencing_number);
    const result<http_response> usage = ask_for_run(id);
    run_outcome outcome = r.outcome();
    outcome.state = run_state::failed;
    outcome.message = cause;
    if (cancelled && usage && usage.value().status == 200) {
        const result<Json::Value> body = parse_json(usage.value().body);
        const tokens used =
            body ? int_member(body.value(), "prompt_tokens") + int_member(body.value(), "completion_tokens")
                 : outcome.used;
        outcome.used = std::max(outcome.used, used);
        outcome.message += "; the engine's own record gives " + std::to_string(outcome.used) + " tokens";
        return outcome;
    }
    outcome.withheld = std::max<tokens>(r.assigned_ticket().reserved - outcome.used, 0);
    outcome.message += "; the engine cannot be asked what it used";
    return outcome;
}

result<done> engine_backend::post_command(const std::string& path, const Json::Value& body) {
    http_request request;
    request.method = "POST";
    request.path = path;
    request.headers["content-type"] = "application/json";
    request.body = to_text(body);
    request.max_reply_bytes = max_control_reply_bytes;
    const result<http_response> response = call_http(engine_, request, timeouts_);
    if (!response) {
        return response.error();
    }
    if (response.value().status != 200) {
        return make_failure(errc::refused, "send command " + path, engine_.text(),
                            "status " + std::to_string(response.value().status));
    }
    return done{};
}

result<done> engine_backend::cancel(const std::string& request_id, std::uint64_t fencing_number) {
    Json::Value body;
    body["request_id"] = request_id;
    body["fencing"] = Json::UInt64(fencing_number);
    return post_command("/v1/cancel", body);
}

result<done> engine_backend::take_over(std::uint64_t fencing_number) {
    Json::Value body;
    body["fencing"] = Json::UInt64(fencing_number);
    return post_command("/v1/cancel_all", body);
}

result<backend_load> engine_backend::query_load() {
    http_request request;
    request.path = "/v1/load";
    request.max_reply_bytes = max_control_reply_bytes;
    const result<http_response> response = call_http(engine_, request, load_timeouts);
    if (!response) {
        return response.error();
    }
    if (response.value().status != ok_status) {
        return make_failure(errc::refused, "query load", engine_.text(),
                            "status " + std::to_string(response.value().status));
    }
    const result<Json::Value> body = parse_json(response.value().body);
    if (!body) {
        return body.error();
    }
    return backend_load{static_cast<int>(int_member(body.value(), "running")),
                        static_cast<int>(int_member(body.value(), "queued"))};
}

} // namespace eelgrassgw

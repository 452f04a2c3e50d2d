#include "eelgrassgw/router/agent_call.h"

#include "eelgrassgw/base/percent_encoding.h"

namespace eelgrassgw {

namespace {

constexpr std::chrono::milliseconds connect_timeout{1000};
constexpr std::chrono::milliseconds read_timeout{2500}; // Agents send a line at least twice a second.

const http_timeouts stream_timeouts{connect_timeout, read_timeout};

} // namespace

bool apply_agent_line(const std::string& line, const std::string& agent, stream_position& position,
                      std::string& text) {
    const result<Json::Value> parsed = parse_json(line);
    if (!parsed) {
        return false;
    }
    const std::string type = string_member(parsed.value(), "type");
    if (type == "accepted") {
        if (string_member(parsed.value(), "agent") != agent) {
            return false; // Another incarnation answered, so this is not the run that was started.
        }
        position.accepted = true;
        position.nonce = string_member(parsed.value(), "nonce");
        position.load =
            static_cast<int>(int_member(parsed.value(), "running") + int_member(parsed.value(), "queued"));
        return true;
    }
    if (!position.accepted) {
        return false;
    }
    if (type == "chunk") {
        if (static_cast<std::size_t>(int_member(parsed.value(), "offset", -1)) != position.offset) {
            return false;
        }
        text = string_member(parsed.value(), "text");
        position.offset += text.size();
        return true;
    }
    if (type == "end") {
        const result<run_outcome> outcome = run_outcome::from_json(member(parsed.value(), "outcome"));
        position.output_kept = bool_member(parsed.value(), "output_kept", true);
        const auto length = static_cast<std::size_t>(int_member(parsed.value(), "length"));
        if (!outcome || (position.output_kept && length != position.offset)) {
            return false;
        }
        position.outcome = outcome.value();
        position.ended = true;
        return true;
    }
    return type == "wait";
}

result<std::unique_ptr<http_stream>> agent_caller::open_ticket(const agent_member& agent,
                                                               const ticket& t) const {
    http_request request;
    request.method = "POST";
    request.path = "/tickets";
    request.headers["content-type"] = "application/json";
    request.body = to_text(t.to_json());
    request.failpoint_name = "send_ticket";
    sign_request(request, fleet_key_);
    return open_http_stream(agent.address, request, stream_timeouts);
}

result<std::unique_ptr<http_stream>>
agent_caller::open_run(const agent_member& agent, const std::string& request_id, std::size_t offset) const {
    http_request request;
    request.path = "/runs";
    request.failpoint_name = "attach_run";
    request.query = "id=" + percent_encode_path(request_id) + "&offset=" + std::to_string(offset);
    sign_request(request, fleet_key_);
    return open_http_stream(agent.address, request, stream_timeouts);
}

call_result agent_caller::read_refusal(http_stream& stream) {
    call_result refused;
    refused.end = call_end::refused;
    const result<Json::Value> body = parse_json(stream.read_rest());
    refused.code = body ? string_member(body.value(), "code", "refused") : "refused";
    refused.message = body ? string_member(body.value(), "message") : "the agent refused";
    if (body) {
        refused.retry_after = std::chrono::milliseconds(int_member(body.value(), "retry_after_ms"));
    }
    return refused;
}

call_result agent_caller::make_result(call_end end, const std::string& message,
                                      const stream_position& position) {
    call_result made;
    made.end = end;
    made.message = message;
    made.output_bytes_received = position.offset;
    return made;
}

call_result agent_caller::make_closed_result(const agent_member& agent, const stream_position& position) {
    call_result closed = make_result(
        call_end::refused, "agent \"" + agent.incarnation + "\" closed without having run it", position);
    closed.code = "draining";
    return closed;
}

call_result agent_caller::make_ended_result(const ticket& t, const stream_position& position) {
    call_result ended = make_result(call_end::ended, position.outcome.message, position);
    ended.outcome = position.outcome;
    ended.started_by_this_ticket = position.nonce == t.nonce;
    ended.output_kept = position.output_kept;
    return ended;
}

call_result agent_caller::resolve_missing_run(const agent_member& agent, const ticket& t,
                                              const stream_position& position) const {
    const result<Json::Value> status = bar_ticket(agent, t.request_id, t.nonce);
    if (!status) {
        return make_result(call_end::unknown, status.error().text(), position);
    }
    if (string_member(status.value(), "agent") != agent.incarnation) {
        return make_result(call_end::agent_lost,
                           "agent \"" + agent.incarnation + "\" was replaced by \"" +
                               string_member(status.value(), "agent") + "\"",
                           position);
    }
    if (bool_member(status.value(), "barred")) {
        call_result barred =
            make_result(call_end::refused, "the ticket did not arrive and is barred", position);
        barred.code = "barred";
        return barred;
    }
    return make_result(call_end::unknown, "the run appeared meanwhile", position);
}

result<Json::Value> agent_caller::ask_status(const agent_member& agent, const std::string& request_id) const {
    Json::Value params;
    params["request_id"] = request_id;
    return call_peer(agent.address, fleet_key_, "status", params, stream_timeouts);
}

result<Json::Value> agent_caller::bar_ticket(const agent_member& agent, const std::string& request_id,
                                             const std::string& nonce) const {
    Json::Value params;
    params["request_id"] = request_id;
    params["nonce"] = nonce;
    return call_peer(agent.address, fleet_key_, "bar", params, stream_timeouts);
}

bool agent_caller::notify_journalled(const agent_member& agent,
                                     const std::vector<std::string>& request_ids) const {
    Json::Value params;
    for (const std::string& id : request_ids) {
        params["request_ids"].append(id);
    }
    return call_peer(agent.address, fleet_key_, "journalled", params, stream_timeouts).ok();
}

} // namespace eelgrassgw

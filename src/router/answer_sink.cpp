#include "eelgrassgw/router/answer_sink.h"

#include "eelgrassgw/base/json.h"

#include <chrono>

namespace eelgrassgw {

namespace {

std::int64_t current_unix_seconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

/// Creates a chunk event with an empty list of choices.
Json::Value make_chunk_event(const std::string& request_id, const std::string& model) {
    Json::Value event;
    event["id"] = request_id;
    event["object"] = "chat.completion.chunk";
    event["created"] = Json::Int64(current_unix_seconds());
    event["model"] = model;
    event["choices"] = Json::arrayValue;
    return event;
}

} // namespace

bool event_stream_sink::begin_stream() {
    if (begun_) {
        return true;
    }
    begun_ = true;
    return exchange_.begin_stream(200, {{"content-type", "text/event-stream"},
                                        {"cache-control", "no-cache"},
                                        {"x-request-id", request_id_}});
}

bool event_stream_sink::send_event(const std::string& data) {
    return begin_stream() && exchange_.write("data: " + data + "\n\n");
}

bool event_stream_sink::accept(const std::string& text) {
    Json::Value event = make_chunk_event(request_id_, model_);
    Json::Value choice;
    choice["index"] = 0;
    choice["delta"]["content"] = text;
    choice["finish_reason"] = Json::nullValue;
    event["choices"].append(choice);
    event["offset"] = Json::UInt64(offset_);
    offset_ += text.size();
    return send_event(to_text(event));
}

void event_stream_sink::finish(const std::string& finish_reason, long long prompt_tokens,
                               long long completion_tokens) {
    Json::Value event = make_chunk_event(request_id_, model_);
    Json::Value choice;
    choice["index"] = 0;
    choice["delta"] = Json::objectValue;
    choice["finish_reason"] = finish_reason;
    event["choices"].append(choice);
    event["usage"]["prompt_tokens"] = Json::Int64(prompt_tokens);
    event["usage"]["completion_tokens"] = Json::Int64(completion_tokens);
    event["usage"]["total_tokens"] = Json::Int64(prompt_tokens + completion_tokens);
    if (send_event(to_text(event)) && send_event("[DONE]")) {
        exchange_.end_stream();
    }
}

void event_stream_sink::fail(const std::string& error_json) {
    if (send_event(error_json)) {
        exchange_.end_stream();
    }
}

} // namespace eelgrassgw

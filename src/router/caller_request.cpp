#include "eelgrassgw/router/caller_request.h"

#include <array>

namespace eelgrassgw {

namespace {

constexpr tokens tokens_per_message = 16; // Role and separators of the chat template.
constexpr std::size_t prefix_bytes = 256;
const std::string bearer = "Bearer ";

// Fields that only tune sampling go to the engine as they are.
constexpr std::array<const char*, 7> sampling_fields = {
    "temperature", "top_p", "stop", "seed", "presence_penalty", "frequency_penalty", "user"};
constexpr std::array<const char*, 8> own_fields = {
    "model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "n"};

template <class List>
bool contains(const List& list, const std::string& name) {
    return std::find(list.begin(), list.end(), name) != list.end();
}

caller_error bad_field(const std::string& field, const std::string& why) {
    return bad_request(400, "invalid_request", "Field \"" + field + "\" " + why + ".");
}

/// Text of one message: a string, or a list of text parts.
std::string text_of(const Json::Value& content) {
    if (content.isString()) {
        return content.asString();
    }
    std::string text;
    for (const Json::Value& part : content) {
        text += string_member(part, "text");
    }
    return text;
}

bool is_message(const Json::Value& message) {
    const Json::Value& content = member(message, "content");
    return member(message, "role").isString() && (content.isString() || content.isArray());
}

} // namespace

caller_error bad_request(int status, const std::string& code, const std::string& message) {
    caller_error error;
    error.status = status;
    error.code = code;
    error.message = message;
    error.step = "read request";
    return error;
}

tokens token_bound(const std::string& text) {
    return static_cast<tokens>(text.size());
}

read_result<chat_request> read_chat_request(const std::string& body, const configuration& in_force,
                                            const request_limits& limits) {
    const result<Json::Value> parsed = parse_json(body);
    if (!parsed || !parsed.value().isObject()) {
        return bad_request(400, "malformed_body", "The body is not a JSON object.");
    }
    const Json::Value& from = parsed.value();
    for (const std::string& name : from.getMemberNames()) {
        if (!contains(own_fields, name) && !contains(sampling_fields, name)) {
            return bad_field(name, "is not supported");
        }
    }
    chat_request request;
    request.model = string_member(from, "model");
    if (!in_force.has_model(request.model)) {
        return bad_request(404, "unknown_model", "Model \"" + request.model + "\" does not exist.");
    }
    if (int_member(from, "n", 1) != 1) {
        return bad_field("n", "must be 1");
    }
    const Json::Value& messages = member(from, "messages");
    if (!messages.isArray() || messages.empty()) {
        return bad_field("messages", "must be a list that is not empty");
    }
    std::string all_text;
    for (const Json::Value& message : messages) {
        if (!is_message(message)) {
            return bad_field("messages", "holds an entry without role and content");
        }
        request.prompt_bound += token_bound(string_member(message, "role")) + tokens_per_message;
        all_text += text_of(message["content"]);
    }
    request.prompt_bound += token_bound(all_text) + tokens_per_message;
    request.prefix_hash = stable_hash(all_text.substr(0, prefix_bytes));
    const char* limit_field = from.isMember("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    request.max_tokens = int_member(from, limit_field, limits.max_tokens_default);
    if (request.max_tokens < 1 || request.max_tokens > limits.max_tokens_limit) {
        return bad_field(limit_field, "is " + std::to_string(request.max_tokens) + "; allowed: 1 to " +
                                          std::to_string(limits.max_tokens_limit));
    }
    request.stream = bool_member(from, "stream");
    request.include_usage = bool_member(member(from, "stream_options"), "include_usage");
    request.prompt["messages"] = messages;
    for (const char* name : sampling_fields) {
        if (from.isMember(name)) {
            request.prompt[name] = from[name];
        }
    }
    return request;
}

read_result<caller_identity> read_identity(const http_request& request, const configuration& in_force) {
    const std::string authorization = request.header("authorization");
    if (!authorization.starts_with(bearer)) {
        return bad_request(401, "missing_key", "Header \"Authorization\" must be \"Bearer <key>\".");
    }
    const configuration::key_owner owner = in_force.find_key(sha256_hex(authorization.substr(bearer.size())));
    if (owner.customer == nullptr) {
        return bad_request(401, "unknown_key", "The key belongs to no customer.");
    }
    return caller_identity{owner.customer->name, owner.budget};
}

} // namespace eelgrassgw

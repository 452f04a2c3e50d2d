#include "eelgrassgw/router/caller_request.h"

#include "eelgrassgw/run/priority.h"

#include <array>
#include <optional>

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

/// Reads the fields of one body and keeps the first complaint. A null counts as absent.
class chat_reader {
public:
    explicit chat_reader(const Json::Value& from) : from_(from) {}

    bool has(const char* name) const { return !member(from_, name).isNull(); }

    void check_known_fields() {
        for (const std::string& name : from_.getMemberNames()) {
            if (!contains(own_fields, name) && !contains(sampling_fields, name)) {
                complain(name, "is not supported");
            }
        }
    }

    std::int64_t integer_or(const char* name, std::int64_t fallback) {
        if (has(name) && !from_[name].isInt64()) {
            complain(name, "must be a whole number");
        }
        return int_member(from_, name, fallback);
    }

    bool boolean_or_false(const char* name) {
        if (has(name) && !from_[name].isBool()) {
            complain(name, "must be true or false");
        }
        return bool_member(from_, name);
    }

    std::string priority_or(const std::string& highest) {
        if (!has("priority")) {
            return highest;
        }
        const std::string asked = string_member(from_, "priority");
        const bool exists = contains(priority_names(), asked);
        if (!exists || priority_rank(asked) < priority_rank(highest)) {
            complain("priority", "is \"" + asked + "\"; allowed: \"" + highest + "\" or lower");
        }
        return asked;
    }

    const Json::Value& messages() {
        const Json::Value& list = member(from_, "messages");
        if (!list.isArray() || list.empty()) {
            complain("messages", "must be a list that is not empty");
            return no_messages();
        }
        for (const Json::Value& message : list) {
            check_message(message);
        }
        return error_ ? no_messages() : list;
    }

    void complain(const std::string& field, const std::string& why) {
        if (!error_) {
            error_ = bad_field(field, why);
        }
    }

    const std::optional<caller_error>& error() const { return error_; }

private:
    static const Json::Value& no_messages() {
        static const Json::Value none(Json::arrayValue);
        return none;
    }

    void check_message(const Json::Value& message) {
        const Json::Value& content = member(message, "content");
        if (!member(message, "role").isString() || !(content.isString() || content.isArray())) {
            complain("messages", "holds an entry without role and content");
            return;
        }
        if (content.isString()) {
            return;
        }
        for (const Json::Value& part : content) {
            const std::string type = string_member(part, "type");
            if (type != "text" || !member(part, "text").isString()) {
                complain("messages", "holds a part of type \"" + type + "\"; only \"text\" is supported");
            }
        }
    }

    const Json::Value& from_;
    std::optional<caller_error> error_;
};

/// Messages and sampling parameters, as the engine gets them.
Json::Value prompt_of(const Json::Value& from) {
    Json::Value prompt;
    prompt["messages"] = from["messages"];
    for (const char* name : sampling_fields) {
        if (from.isMember(name)) {
            prompt[name] = from[name];
        }
    }
    return prompt;
}

void read_messages(const Json::Value& messages, chat_request& request) {
    std::string all_text;
    for (const Json::Value& message : messages) {
        request.prompt_bound += token_bound(string_member(message, "role")) + tokens_per_message;
        all_text += text_of(message["content"]);
    }
    request.prompt_bound += token_bound(all_text) + tokens_per_message;
    request.prefix_hash = stable_hash(all_text.substr(0, prefix_bytes));
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
    chat_reader in(from);
    in.check_known_fields();
    chat_request request;
    request.model = string_member(from, "model");
    if (!in.error() && !in_force.has_model(request.model)) {
        return bad_request(404, "unknown_model", "Model \"" + request.model + "\" does not exist.");
    }
    if (in.integer_or("n", 1) != 1) {
        in.complain("n", "must be 1");
    }
    read_messages(in.messages(), request);
    const char* limit_field = in.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    request.max_tokens = in.integer_or(limit_field, limits.max_tokens_default);
    if (request.max_tokens < 1 || request.max_tokens > limits.max_tokens_limit) {
        in.complain(limit_field, "is " + std::to_string(request.max_tokens) + "; allowed: 1 to " +
                                     std::to_string(limits.max_tokens_limit));
    }
    request.priority = in.priority_or(limits.priority);
    request.stream = in.boolean_or_false("stream");
    request.include_usage = bool_member(member(from, "stream_options"), "include_usage");
    if (in.error()) {
        return *in.error();
    }
    request.prompt = prompt_of(from);
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

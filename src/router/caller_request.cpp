#include "eelgrassgw/router/caller_request.h"

#include "eelgrassgw/run/priority.h"

#include <array>
#include <optional>

namespace eelgrassgw {

namespace {

constexpr tokens tokens_per_message = 16; // Allowance for the role and the separators of the chat template.
// Length of the beginning of the prompt that determines cache affinity.
constexpr std::size_t affinity_prefix_bytes = 256;
const std::string bearer_prefix = "Bearer ";

// These fields only affect sampling, so they are sent to the engine unchanged.
constexpr std::array<const char*, 7> sampling_fields = {
    "temperature", "top_p", "stop", "seed", "presence_penalty", "frequency_penalty", "user"};
// These fields are read by the router itself.
constexpr std::array<const char*, 8> handled_fields = {
    "model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "n"};

template <class List>
bool contains(const List& list, const std::string& name) {
    return std::find(list.begin(), list.end(), name) != list.end();
}

caller_error invalid_field_error(const std::string& field, const std::string& reason) {
    return bad_request(400, "invalid_request", "Field \"" + field + "\" " + reason + ".");
}

/// Returns the text of one message, whose content is a string or a list of text parts.
std::string message_text(const Json::Value& content) {
    if (content.isString()) {
        return content.asString();
    }
    std::string text;
    for (const Json::Value& part : content) {
        text += string_member(part, "text");
    }
    return text;
}

/// Reads the fields of a chat request body and keeps the first error. A field that is null counts as absent.
class chat_reader {
public:
    explicit chat_reader(const Json::Value& document) : document_(document) {}

    bool has_field(const char* name) const { return !member(document_, name).isNull(); }

    void check_known_fields() {
        for (const std::string& name : document_.getMemberNames()) {
            if (!contains(handled_fields, name) && !contains(sampling_fields, name)) {
                set_error(name, "is not supported");
            }
        }
    }

    std::int64_t integer_or(const char* name, std::int64_t fallback) {
        if (has_field(name) && !document_[name].isInt64()) {
            set_error(name, "must be a whole number");
        }
        return int_member(document_, name, fallback);
    }

    bool boolean_or_false(const char* name) {
        if (has_field(name) && !document_[name].isBool()) {
            set_error(name, "must be true or false");
        }
        return bool_member(document_, name);
    }

    std::string priority_or(const std::string& highest) {
        if (!has_field("priority")) {
            return highest;
        }
        const std::string requested = string_member(document_, "priority");
        const bool exists = contains(priority_names(), requested);
        if (!exists || priority_rank(requested) < priority_rank(highest)) {
            set_error("priority", "is \"" + requested + "\"; allowed: \"" + highest + "\" or lower");
        }
        return requested;
    }

    const Json::Value& valid_messages() {
        const Json::Value& list = member(document_, "messages");
        if (!list.isArray() || list.empty()) {
            set_error("messages", "must be a list that is not empty");
            return no_messages();
        }
        for (const Json::Value& message : list) {
            check_message(message);
        }
        return error_ ? no_messages() : list;
    }

    void set_error(const std::string& field, const std::string& reason) {
        if (!error_) {
            error_ = invalid_field_error(field, reason);
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
            set_error("messages", "holds an entry without role and content");
            return;
        }
        if (content.isString()) {
            return;
        }
        for (const Json::Value& part : content) {
            const std::string type = string_member(part, "type");
            if (type != "text" || !member(part, "text").isString()) {
                set_error("messages", "holds a part of type \"" + type + "\"; only \"text\" is supported");
            }
        }
    }

    const Json::Value& document_;
    std::optional<caller_error> error_;
};

/// Returns the messages and sampling parameters of a request body, as sent to the engine.
Json::Value make_prompt(const Json::Value& document) {
    Json::Value prompt;
    prompt["messages"] = document["messages"];
    for (const char* name : sampling_fields) {
        if (document.isMember(name)) {
            prompt[name] = document[name];
        }
    }
    return prompt;
}

/// Computes the token bound and the prefix hash of the prompt.
void read_messages(const Json::Value& messages, chat_request& request) {
    std::string all_text;
    for (const Json::Value& message : messages) {
        request.max_prompt_tokens += token_bound(string_member(message, "role")) + tokens_per_message;
        all_text += message_text(message["content"]);
    }
    request.max_prompt_tokens += token_bound(all_text) + tokens_per_message;
    request.prefix_hash = stable_hash(all_text.substr(0, affinity_prefix_bytes));
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

read_result<chat_request> read_chat_request(const std::string& body, const configuration& config,
                                            const request_limits& limits) {
    const result<Json::Value> parsed = parse_json(body);
    if (!parsed || !parsed.value().isObject()) {
        return bad_request(400, "malformed_body", "The body is not a JSON object.");
    }
    const Json::Value& document = parsed.value();
    chat_reader reader(document);
    reader.check_known_fields();
    chat_request request;
    request.model = string_member(document, "model");
    if (!reader.error() && !config.has_model(request.model)) {
        return bad_request(404, "unknown_model", "Model \"" + request.model + "\" does not exist.");
    }
    if (reader.integer_or("n", 1) != 1) {
        reader.set_error("n", "must be 1");
    }
    read_messages(reader.valid_messages(), request);
    const char* limit_field =
        reader.has_field("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    request.max_tokens = reader.integer_or(limit_field, limits.max_tokens_default);
    if (request.max_tokens < 1 || request.max_tokens > limits.max_tokens_limit) {
        reader.set_error(limit_field, "is " + std::to_string(request.max_tokens) + "; allowed: 1 to " +
                                          std::to_string(limits.max_tokens_limit));
    }
    request.priority = reader.priority_or(limits.priority);
    request.stream = reader.boolean_or_false("stream");
    request.include_usage = bool_member(member(document, "stream_options"), "include_usage");
    if (reader.error()) {
        return *reader.error();
    }
    request.prompt = make_prompt(document);
    return request;
}

read_result<caller_identity> read_identity(const http_request& request, const configuration& config) {
    const std::string authorization = request.header("authorization");
    if (!authorization.starts_with(bearer_prefix)) {
        return bad_request(401, "missing_key", "Header \"Authorization\" must be \"Bearer <key>\".");
    }
    const configuration::key_owner owner =
        config.find_key(sha256_hex(authorization.substr(bearer_prefix.size())));
    if (owner.customer == nullptr) {
        return bad_request(401, "unknown_key", "The key belongs to no customer.");
    }
    return caller_identity{owner.customer->name, owner.budget};
}

} // namespace eelgrassgw

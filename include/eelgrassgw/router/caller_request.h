#pragma once

/// Reading callers' requests: the OpenAI-style chat protocol and calls of plain services.

#include "eelgrassgw/router/caller_error.h"
#include "eelgrassgw/router/dispatcher.h"
#include "eelgrassgw/run/request_id.h"

#include <variant>

namespace eelgrassgw {

/// Who calls, as proved by the bearer key.
struct caller_identity {
    std::string customer;
    std::string budget;
};

/// A chat request that was read and checked.
struct chat_request {
    std::string model;
    Json::Value prompt;      ///< Messages and sampling parameters, as the engine gets them.
    tokens prompt_bound = 0; ///< Upper bound of the prompt's tokens.
    tokens max_tokens = 0;
    std::string priority;
    bool stream = false;
    bool include_usage = false;
    std::uint64_t prefix_hash = 0;
};

/// Either what was read, or what the caller is told.
template <class T>
using read_result = std::variant<T, caller_error>;

/// An upper bound of the tokens of one text: a byte-level vocabulary has no token shorter than a byte.
tokens token_bound(const std::string& text);

/// Reads the body of `POST /v1/chat/completions`.
read_result<chat_request> read_chat_request(const std::string& body, const configuration& in_force,
                                            const request_limits& limits);

/// Finds the customer of the `Authorization` header.
read_result<caller_identity> read_identity(const http_request& request, const configuration& in_force);

/// An error that was found before anything was reserved.
caller_error bad_request(int status, const std::string& code, const std::string& message);

} // namespace eelgrassgw

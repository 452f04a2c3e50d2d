#pragma once

/// Parses callers' requests: their credentials and the bodies of the OpenAI-style chat protocol.

#include "eelgrassgw/router/caller_error.h"
#include "eelgrassgw/router/dispatcher.h"
#include "eelgrassgw/run/request_id.h"

#include <variant>

namespace eelgrassgw {

/// The customer and the budget that belong to the caller's bearer key.
struct caller_identity {
    std::string customer;
    std::string budget;
};

/// A parsed and validated chat request.
struct chat_request {
    std::string model;
    Json::Value prompt;           ///< Messages and sampling parameters, as sent to the engine.
    tokens max_prompt_tokens = 0; ///< Upper bound of the number of tokens in the prompt.
    tokens max_tokens = 0;        ///< Upper bound of the number of generated tokens.
    std::string priority;
    bool stream = false;
    bool include_usage = false;
    std::uint64_t prefix_hash = 0; ///< Hash of the beginning of the prompt, for cache affinity.
};

/// Holds either the parsed value or the error that the caller receives.
template <class T>
using read_result = std::variant<T, caller_error>;

/// Returns an upper bound of the number of tokens in `text`. This is its length in bytes, since a byte-level
/// vocabulary has no token shorter than one byte.
tokens token_bound(const std::string& text);

/// Parses the body of `POST /v1/chat/completions`.
read_result<chat_request> read_chat_request(const std::string& body, const configuration& config,
                                            const request_limits& limits);

/// Finds the customer whose key is in the `Authorization` header.
read_result<caller_identity> read_identity(const http_request& request, const configuration& config);

/// Returns an error for a request that was refused before any tokens were reserved.
caller_error bad_request(int status, const std::string& code, const std::string& message);

} // namespace eelgrassgw

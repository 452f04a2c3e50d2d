#pragma once

/// What a caller's request says about itself, decoded.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <optional>
#include <string>

namespace eelgrassgw {

/// A prompt as the caller states it.
struct prompt_terms {
    tokens prompt_tokens = 0;
    tokens most_output_tokens = 0;
    tokens shared_tokens = 0; ///< Of `prompt_tokens`: in parts that other requests share.
    std::string shared_part;  ///< Last part of the prompt that it shares with other requests; may be empty.

    /// What a server reads that has read the shared parts before.
    tokens own_tokens() const { return prompt_tokens - shared_tokens; }

    tokens most_tokens() const { return prompt_tokens + most_output_tokens; }
};

struct request_terms {
    std::string id;                                    ///< Of this attempt of the caller.
    std::optional<std::chrono::milliseconds> deadline; ///< How long the caller waits.
    std::optional<std::string> api_key;
    std::optional<prompt_terms> prompt;
};

/// What is added to a request on its way to a backend server.
struct backend_send {
    std::string server_id;          ///< Any other server must decline.
    std::chrono::milliseconds left; ///< Until the server must stop.
    std::string customer;           ///< Empty where the route needs no key.
    int urgency = 5;                ///< 0 is the most urgent.
    std::string resume_after;       ///< Id of the last event that the caller has; empty for a new run.
};

/// What the head of a backend server's answer says.
enum class answer_kind {
    success,       ///< A genuine answer to this request.
    failure,       ///< The server ran the request, or may have, and failed.
    not_run,       ///< The server states that it did not run the request.
    wrong_server,  ///< Another server has the address; it did not run the request.
    other_request, ///< The answer to another request.
    invalid,       ///< Not an answer that may reach a caller.
};

} // namespace eelgrassgw

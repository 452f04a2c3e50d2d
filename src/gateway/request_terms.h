#pragma once

/// Metadata of a caller's request, decoded from its headers, and of the request to a backend server.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Size and shared part of a prompt, as the caller states them.
struct prompt_terms {
    tokens prompt_tokens = 0;
    tokens max_output_tokens = 0;
    tokens shared_tokens = 0;              ///< Number of `prompt_tokens` in parts that other requests share.
    std::vector<std::string> shared_parts; ///< Parts of the prompt that other requests share, in order.

    /// Returns the last part that other requests share; empty if there is none.
    std::string last_shared_part() const { return shared_parts.empty() ? "" : shared_parts.back(); }

    /// Returns the number of tokens that a server reads if it has already read the shared parts.
    tokens unshared_tokens() const { return prompt_tokens - shared_tokens; }

    /// Returns the largest number of tokens that the request can use.
    tokens max_tokens() const { return prompt_tokens + max_output_tokens; }

    /// Returns a text that prompts have in common only if they have the same size and shared parts.
    std::string to_text() const {
        std::string text = std::to_string(prompt_tokens) + ' ' + std::to_string(max_output_tokens);
        for (const std::string& part : shared_parts) {
            text += ' ' + part;
        }
        return text;
    }
};

/// Which stream a request goes on with, of which an earlier attempt of the caller has delivered a part.
struct stream_take_up {
    std::string last_event_id;    ///< Id of the last event that the caller has; never empty.
    std::string first_request_id; ///< Id of the attempt that brought the first event; empty if not stated.
};

/// Metadata of a request, as the caller states it.
struct request_terms {
    std::string id;                                    ///< Id of this attempt of the caller.
    std::optional<std::chrono::milliseconds> deadline; ///< Time that the caller waits for the answer.
    std::optional<std::string> api_key;
    std::optional<prompt_terms> prompt;
    std::optional<stream_take_up> take_up; ///< Present if the request goes on with a stream.
};

/// Metadata that the gateway adds to a request before it sends the request to a backend server.
struct backend_request_metadata {
    std::string server_id; ///< Id of the intended server; any other server must decline the request.
    std::chrono::milliseconds time_left; ///< Time after which the server must stop.
    std::string customer;                ///< Name of the customer; empty if the route needs no key.
    int urgency = 5;                     ///< Priority of the request; 0 is the most urgent.
    std::string last_event_id; ///< Id of the last event that the caller received; empty for a new run.
};

/// What a backend server states about itself in the head of any of its answers.
struct server_notice {
    bool leaving = false; ///< Whether the server is shutting down and wants no new requests.

    /// Time during which the server wants no requests from this process, if it declined because of its load.
    std::optional<std::chrono::milliseconds> pause;

    /// Requests per second that the server takes from all routers together, if it names such a limit.
    std::optional<double> limit;

    /// Whether the answer has a limit that cannot be read, so that it says neither which nor that there is
    /// none.
    bool has_unreadable_limit = false;

    /// Time for which the server stays cold, if it states that; zero if it is warm.
    std::optional<std::chrono::milliseconds> cold_time_left;
};

} // namespace eelgrassgw

#pragma once

/// Final answers that the gateway itself generates when it refuses a request or the request fails.

#include "net/task.h"

#include <chrono>
#include <optional>
#include <string>

namespace eelgrassgw {

/// Reason for an answer that the gateway generates.
enum class refusal_reason {
    no_configuration,         ///< This process has not received a configuration yet.
    configuration_superseded, ///< A newer configuration is known, and this process does not have it yet.
    no_route,                 ///< The configuration has no route for the host and path.
    unknown_key,              ///< The key belongs to no customer.
    malformed,                ///< The request cannot be parsed.
    head_too_large,           ///< The head of the request exceeds the size limit.
    body_too_large,           ///< The body of the request exceeds the size limit.
    request_timeout,          ///< The request did not arrive in time.
    budget_exhausted,         ///< The remaining budget does not cover the request.
    budget_unknown,           ///< The budget could not be checked in time.
    no_backend_server,        ///< No backend server of the service can be reached.
    stream_origin_unknown,    ///< Nobody knows which software version began the stream.
    no_server_of_version,     ///< No backend server has the software version that began the stream.
    overloaded,               ///< The backend servers that could take the request are full.
    router_full,              ///< This process could not forward the request in time.
    prompt_quarantined,       ///< A part of the prompt crashes the backend servers that answer it.
    request_quarantined,      ///< The request itself crashes the backend servers that run it.
    draining,                 ///< This process is stopping.
    caller_deadline,          ///< The deadline of the request passed, and the request has not run.
    timeout,                  ///< The deadline of the request passed; the request may have run.
    already_sent,             ///< An earlier attempt with the same id may run or have run.
    backend_failed,           ///< The backend server's answer was lost or invalid; the request may have run.
};

/// An answer that the gateway generates instead of forwarding one.
struct refusal {
    refusal_reason reason = refusal_reason::malformed;
    std::string message;
    std::optional<std::chrono::milliseconds> retry_after; ///< Time after which a retry may succeed.
};

/// Returns the name of a reason as it appears in logs, metrics and answers.
const char* name_of(refusal_reason reason);

/// Returns the HTTP status of a reason. The statuses 408, 429 and 503 are returned only if the request has
/// not run and never will.
http::status http_status_of(refusal_reason reason);

/// Builds the HTTP reply for a refusal, with a JSON body.
text_reply to_reply(const refusal& answer);

} // namespace eelgrassgw

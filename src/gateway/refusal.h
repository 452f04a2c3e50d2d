#pragma once

/// Final answers that the gateway gives by itself.

#include "net/task.h"

#include <chrono>
#include <optional>
#include <string>

namespace eelgrassgw {

enum class refusal_reason {
    no_configuration, ///< This process does not know any configuration yet.
    no_route,         ///< The configuration has no route for the host and path.
    unknown_key,      ///< The key belongs to no customer.
    malformed,        ///< The request cannot be understood.
    head_too_large,
    body_too_large,
    request_timeout,   ///< The request did not arrive in time.
    budget_exhausted,  ///< What is left of the budget does not cover the request.
    budget_unknown,    ///< The budget could not be asked in time.
    no_backend_server, ///< None of the service can be reached now.
    overloaded,        ///< The backend servers that may be asked are full.
    draining,          ///< This process is stopping.
    caller_deadline,   ///< The time that the request had is over, and it has not run.
    timeout,           ///< The time that the request had is over; it may have run.
    backend_failed,    ///< The backend server's answer was lost or unusable; the request may have run.
};

struct refusal {
    refusal_reason reason = refusal_reason::malformed;
    std::string message;
    std::optional<std::chrono::milliseconds> retry_after; ///< When coming back is worthwhile.
};

/// The name of a reason in logs, metrics and answers.
const char* name_of(refusal_reason reason);

/// The status of a reason. 408, 429 and 503 are given only where the request has not run and never will.
http::status status_of(refusal_reason reason);

/// The answer as a message, with a JSON body.
text_reply to_reply(const refusal& of);

} // namespace eelgrassgw

#pragma once

/// The error that a caller receives when a request fails: the cause, whether the request ran, and what to do
/// next.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/transport/http_message.h"

#include <chrono>
#include <string>

namespace eelgrassgw {

/// Whether the request ran, as far as the router can prove it. Repetitions with the same caller's key count
/// as one request.
enum class ran_status { no, unknown, yes };

const char* to_text(ran_status status);

/// Describes one failure to a caller.
struct caller_error {
    int status = 500;    ///< HTTP status of the response, if it promises no more than `did_run` says.
    std::string code;    ///< Stable error code for programs, for example "budget_exhausted".
    std::string message; ///< Human-readable cause.
    ran_status did_run = ran_status::no;
    std::string step;           ///< Name of the processing step that failed.
    std::string peer;           ///< Name of the process that caused the error; empty for the router itself.
    bool safe_to_repeat = true; ///< Whether repeating the request with the same key is harmless.
    std::chrono::milliseconds retry_after{0}; ///< Delay before a retry; 0 if an early retry is not useful.

    /// Marks the outcome as unknown. A request with the caller's own key was refused before the router
    /// checked for an earlier run with that key, so it is not proved that the request did not run.
    void mark_earlier_run_unchecked();

    /// Returns a human-readable sentence about whether the request ran and whether to repeat it.
    std::string advice() const;
    /// Returns the HTTP status of the response. A status which promises that the request was not run, such as
    /// 503, is replaced by 502 or 504 unless that is proved.
    int response_status() const;
    Json::Value to_json(const std::string& request_id) const;
    http_response to_response(const std::string& request_id) const;
};

} // namespace eelgrassgw

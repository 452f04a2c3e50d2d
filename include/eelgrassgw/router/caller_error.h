#pragma once

/// What a caller is told when a request fails: what happened, whether it ran, and what to do.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/transport/http_message.h"

#include <chrono>
#include <string>

namespace eelgrassgw {

/// Whether the request ran, as far as that is proved. A request with a caller's own key is one request,
/// however often it is sent.
enum class ran { no, unknown, yes };

const char* to_text(ran r);

struct caller_error {
    int status = 500;
    std::string code;    ///< Stable name for programs, for example "budget_exhausted".
    std::string message; ///< For people.
    ran did_run = ran::no;
    std::string step;                         ///< Where it arose.
    std::string peer;                         ///< With whom; empty for the router itself.
    bool safe_to_repeat = true;               ///< Whether the same request with the same key does no harm.
    std::chrono::milliseconds retry_after{0}; ///< 0: repeating soon will not help.

    /// For a refusal of a request with the caller's own key, decided before anybody was asked for an earlier
    /// run of it: "not run" is then not proved.
    void say_not_looked_up();

    /// The whole advice in one sentence, for the night desk.
    std::string advice() const;
    Json::Value to_json(const std::string& request_id) const;
    http_response to_response(const std::string& request_id) const;
};

} // namespace eelgrassgw

#pragma once

/// The state of a run and its result.

#include "eelgrassgw/base/json.h"

#include <string>

namespace eelgrassgw {

enum class run_state {
    queued,    ///< The run waits for a free slot and has not started.
    running,   ///< The backend server executes the run.
    done,      ///< The run completed.
    failed,    ///< The run started and failed before it completed.
    cancelled, ///< The run started and was stopped on request.
    not_run,   ///< The ticket did not run and never will.
};

const char* to_text(run_state state);
result<run_state> run_state_from_text(const std::string& text);

/// Returns true if a run in `state` has ended or will never start.
constexpr bool is_final(run_state state) {
    return state != run_state::queued && state != run_state::running;
}

struct run_outcome {
    run_state state = run_state::queued;
    tokens used = 0;     ///< Tokens known to be used, or the price of a service call.
    tokens withheld = 0; ///< Further tokens that may have been used, because the usage is unknown.
    tokens prompt_tokens = 0;
    tokens generated_tokens = 0;
    int status = 200;          ///< HTTP status of a service's reply.
    std::string finish_reason; ///< Reason why the output ended, such as "stop" or "length".
    std::string message;       ///< Description of the error; empty if there was none.

    Json::Value to_json() const;
    static result<run_outcome> from_json(const Json::Value& json);
};

} // namespace eelgrassgw

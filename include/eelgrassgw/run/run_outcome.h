#pragma once

/// How a run stands or ended.

#include "eelgrassgw/base/json.h"

#include <string>

namespace eelgrassgw {

enum class run_state {
    queued, ///< Waits for a free slot; has not run.
    running,
    done,      ///< Ran to its end.
    failed,    ///< Ran, and broke before its end.
    cancelled, ///< Ran, and was stopped on request.
    not_run,   ///< Did not run and never will.
};

const char* to_text(run_state state);
result<run_state> run_state_from_text(const std::string& text);

/// Whether the state is final.
constexpr bool is_final(run_state state) {
    return state != run_state::queued && state != run_state::running;
}

struct run_outcome {
    run_state state = run_state::queued;
    tokens used = 0;     ///< Known to be used: prompt and generated, or the price of the call.
    tokens withheld = 0; ///< May have been used beyond that.
    tokens prompt_tokens = 0;
    tokens generated_tokens = 0;
    int status = 200;          ///< Of a service's reply.
    std::string finish_reason; ///< "stop", "length", ...
    std::string message;       ///< What went wrong.

    Json::Value to_json() const;
    static result<run_outcome> from_json(const Json::Value& from);
};

} // namespace eelgrassgw

#pragma once

/// Functions that create the errors that callers receive when a request could not be served. All are
/// thread-safe.

#include "eelgrassgw/router/agent_call.h"
#include "eelgrassgw/router/caller_error.h"

namespace eelgrassgw {

/// Returns the error for a failed reservation. The request did not run.
caller_error admission_error(const failure& cause);

/// Returns the error for a non-idempotent call whose claim cannot be written. The call was not sent.
caller_error claim_unreachable_error(const failure& cause);

/// Returns the error for a non-idempotent call whose claim cannot be read. The call was not sent, but an
/// earlier request with the same key may have been.
caller_error claim_unreadable_error(const failure& cause);

/// Returns the error for an idempotency key that was used with another body before. `step` names the
/// processing step that detected it.
caller_error key_reused_error(const std::string& step);

/// Returns the error for a request that every agent refused. `last` is the last refusal. The request did not
/// run.
caller_error agents_refused_error(const call_result& last);

/// Returns the error for a request whose earlier run with the same key cannot be checked. `reason` holds the
/// cause.
caller_error earlier_run_unknown_error(const std::string& reason);

/// Returns the error for a request that may have run with the same key before, while no agent has the answer.
caller_error ran_before_error();

/// Returns the error for a request that ran with the same key at an agent that has shut down, so that its
/// answer is lost.
caller_error answer_not_kept_error(const agent_member& agent);

/// Returns the error for a run that ended without a complete answer.
caller_error incomplete_run_error(const call_result& sent, const agent_member& agent);

/// Returns the error for a request that may or may not have run. `safe_to_repeat` is true if a second run is
/// harmless.
caller_error outcome_unknown_error(const std::string& cause, const std::string& peer, bool safe_to_repeat);

} // namespace eelgrassgw

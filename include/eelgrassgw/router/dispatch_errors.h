#pragma once

/// What callers are told when a request could not be served: one function for each case. All are thread-safe.

#include "eelgrassgw/router/agent_call.h"
#include "eelgrassgw/router/caller_error.h"

namespace eelgrassgw {

/// The reservation failed. The request did not run.
caller_error admission_error(const failure& cause);

/// The claim of a non-idempotent call cannot be written. The call was not sent.
caller_error claim_unreachable_error(const failure& cause);

/// The claim of a non-idempotent call cannot be read. The call was not sent, but may have been earlier.
caller_error claim_unreadable_error(const failure& cause);

/// The idempotency key came with another body before. `step` says who noticed.
caller_error key_reused_error(const std::string& step);

/// Every agent that was asked refused. The request did not run.
caller_error refused_error(const call_result& last);

/// Whoever would know an earlier run under the same key cannot be asked, for the reason `why`.
caller_error earlier_run_unknown_error(const std::string& why);

/// An earlier run under the same key cannot be excluded, and nobody has its answer.
caller_error ran_before_error();

/// The request ran under this key at an agent that has left, and its answer went with it.
caller_error answer_left_error(const agent_member& agent);

/// The run ended without a whole answer.
caller_error ended_error(const call_result& sent, const agent_member& agent);

/// Nobody can say whether the request ran. `safe_to_repeat` where a second run would do no harm.
caller_error unknown_error(const std::string& cause, const std::string& peer, bool safe_to_repeat);

} // namespace eelgrassgw

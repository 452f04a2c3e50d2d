#include "eelgrassgw/router/dispatch_errors.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

constexpr std::chrono::seconds platform_retry_delay{2};
constexpr std::chrono::seconds routing_retry_delay{1};
constexpr std::chrono::seconds unknown_outcome_retry_delay{5};

} // namespace

caller_error admission_error(const failure& cause) {
    caller_error error;
    error.step = "admission";
    error.peer = cause.peer;
    if (cause.code == errc::budget_exhausted || cause.code == errc::not_found) {
        error.status = 402;
        error.code = "budget_exhausted";
        error.message = cause.message + ".";
        return error;
    }
    error.status = 503;
    error.code = cause.code == errc::fenced ? "router_replaced" : "budget_unreachable";
    error.message = cause.message + ".";
    error.retry_after = platform_retry_delay;
    return error;
}

caller_error outcome_unknown_error(const std::string& cause, const std::string& peer, bool safe_to_repeat) {
    caller_error error;
    error.status = 504;
    error.code = "outcome_unknown";
    error.message = "No certain answer came: " + cause + ".";
    error.did_run = ran_status::unknown;
    error.step = "ticket";
    error.peer = peer;
    error.safe_to_repeat = safe_to_repeat;
    error.retry_after = unknown_outcome_retry_delay;
    return error;
}

caller_error agents_refused_error(const call_result& last) {
    caller_error error;
    error.step = "routing";
    if (last.code == "overloaded") {
        error.status = 429;
        error.code = "overloaded";
        error.message = "All backend servers that were asked are full.";
        error.retry_after = std::max(last.retry_after, std::chrono::milliseconds(1));
        return error;
    }
    error.status = 503;
    error.code = "no_backend_server";
    error.message = "No backend server took the request: " + last.message + ".";
    error.retry_after = routing_retry_delay;
    return error;
}

caller_error claim_unreachable_error(const failure& cause) {
    caller_error error;
    error.status = 503;
    error.code = "claims_unreachable";
    error.message = "The call was not sent, since the record that keeps it from running twice cannot be "
                    "written: " +
                    cause.text() + ".";
    error.step = "claim";
    error.peer = cause.peer;
    error.retry_after = platform_retry_delay;
    return error;
}

caller_error claim_unreadable_error(const failure& cause) {
    caller_error error = claim_unreachable_error(cause);
    error.mark_earlier_run_unchecked();
    return error;
}

caller_error incomplete_run_error(const call_result& sent, const agent_member& agent) {
    caller_error error;
    error.status = 502;
    error.code = sent.output_kept ? "answer_broken" : "answer_not_kept";
    error.did_run =
        sent.outcome.withheld > 0 && sent.outcome.used == 0 ? ran_status::unknown : ran_status::yes;
    error.step = "run";
    error.peer = agent.incarnation;
    error.safe_to_repeat = false;
    error.message = sent.output_kept
                        ? "The answer broke off: " + sent.outcome.message + "."
                        : "The request ran under this key before, and its answer is not kept any more.";
    return error;
}

caller_error earlier_run_unknown_error(const std::string& reason) {
    caller_error error = outcome_unknown_error(reason, "", true);
    error.code = "earlier_run_unknown";
    error.message =
        "An earlier request with the same key may have run at a backend server that cannot be asked at "
        "the moment: " +
        reason + ".";
    return error;
}

caller_error ran_before_error() {
    caller_error error = outcome_unknown_error(
        "an earlier request with the same key may have run, and its answer is lost", "", false);
    error.status = 409;
    error.code = "ran_before";
    error.retry_after = {};
    return error;
}

caller_error answer_not_kept_error(const agent_member& agent) {
    caller_error error;
    error.status = 502;
    error.code = "answer_not_kept";
    error.message = "The request ran under this key before, at backend server \"" + agent.backend_server +
                    "\", which has left; its answer is not kept any more.";
    error.did_run = ran_status::yes;
    error.step = "run";
    error.peer = agent.incarnation;
    error.safe_to_repeat = false;
    return error;
}

caller_error key_reused_error(const std::string& step) {
    caller_error error;
    error.status = 422;
    error.code = "key_reused";
    error.message = "The idempotency key was used with another body.";
    error.did_run = ran_status::unknown; // The earlier request with this key may have run.
    error.step = step;
    error.safe_to_repeat = false;
    return error;
}

} // namespace eelgrassgw

#include "eelgrassgw/agent/service_backend.h"

#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/base/not_run_status.h"

namespace eelgrassgw {

namespace {

/// Largest answer of a service, in bytes.
constexpr std::size_t max_answer_bytes = 8U << 20U;

/// Returns the outcome of a call of which nobody can say whether it ran.
run_outcome may_have_run(const ticket& t, const std::string& cause) {
    run_outcome outcome;
    outcome.state = run_state::failed;
    outcome.withheld = t.price;
    outcome.message = "the call may have run; " + cause;
    return outcome;
}

} // namespace

run_outcome service_backend::execute(run& r, std::uint64_t /*fencing_number*/) {
    const ticket& t = r.assigned_ticket();
    http_request request;
    request.method = t.method;
    request.path = t.path;
    request.query = t.query;
    request.headers["idempotency-key"] = t.request_id;
    request.headers["content-type"] = "application/json";
    request.body = t.body;
    request.failpoint_name = "call_service";
    request.max_reply_bytes = max_answer_bytes;
    http_timeouts timeouts = timeouts_;
    timeouts.read = std::max(timeouts.connect, t.deadline);
    failpoint("service_before_call");
    result<http_response> response = call_http(service_, request, timeouts);
    if (failpoint("service_repeat_call") == failpoint_action::skip && !response) {
        response = call_http(service_, request, timeouts);
    }
    failpoint("service_after_call");
    run_outcome outcome;
    if (response.failed_with(errc::unreachable)) {
        outcome.state = run_state::not_run;
        outcome.message = response.error().text();
        return outcome;
    }
    if (!response) {
        return may_have_run(t, "no answer came: " + response.error().text());
    }
    if (promises_not_run(static_cast<unsigned>(response.value().status))) {
        return may_have_run(t, "the service refused with status " + std::to_string(response.value().status) +
                                   " and without a proof");
    }
    r.append_output(response.value().body, 0);
    outcome.state = run_state::done;
    outcome.used = t.price;
    outcome.status = response.value().status;
    outcome.finish_reason = "stop";
    return outcome;
}

result<done> service_backend::cancel(const std::string& /*request_id*/, std::uint64_t /*fencing_number*/) {
    return done{};
}

result<done> service_backend::take_over(std::uint64_t /*fencing_number*/) {
    return done{};
}

result<backend_load> service_backend::query_load() {
    return backend_load{};
}

} // namespace eelgrassgw

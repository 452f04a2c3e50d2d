#include "gateway/reply_evidence.h"

#include "eelgrassgw/base/not_run_status.h"

#include <array>
#include <cstddef>

namespace eelgrassgw {

namespace {

constexpr unsigned bad_request = 400;
constexpr unsigned misdirected_request = 421;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

bool is_success(unsigned status) {
    return status >= 200 && status < 300;
}

/// Returns whether a server that states "not run" together with this status does not contradict itself.
bool may_accompany_refusal(unsigned status) {
    return status == bad_request || status == too_many_requests || status == service_unavailable;
}

/// Classifies a failure or refusal that names no request.
answer_kind judge_unnamed_failure(const reply_evidence& evidence, connection_history history) {
    if (history == connection_history::reused) {
        return answer_kind::other_request;
    }
    const bool is_refusal = evidence.states_not_run || promises_not_run(evidence.status);
    return is_refusal ? answer_kind::invalid : answer_kind::failure;
}

} // namespace

const char* name_of(reply_subject subject) {
    constexpr std::array names = {"this_request", "another_request", "unnamed"};
    return names.at(static_cast<std::size_t>(subject));
}

answer_kind judge_reply(const reply_evidence& evidence, connection_history history) {
    if (evidence.subject == reply_subject::another_request) {
        return answer_kind::other_request;
    }
    const bool names_request = evidence.subject == reply_subject::this_request;
    if (is_success(evidence.status)) {
        const bool is_valid = names_request && evidence.is_genuine && !evidence.states_not_run;
        return is_valid ? answer_kind::success : answer_kind::invalid;
    }
    if (!names_request) {
        return judge_unnamed_failure(evidence, history);
    }
    if (evidence.status == misdirected_request) {
        return evidence.names_intended_server ? answer_kind::invalid : answer_kind::wrong_server;
    }
    if (evidence.states_not_run && may_accompany_refusal(evidence.status)) {
        return answer_kind::not_run;
    }
    return promises_not_run(evidence.status) ? answer_kind::invalid : answer_kind::failure;
}

} // namespace eelgrassgw

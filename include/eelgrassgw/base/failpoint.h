#pragma once

/// Failpoints: named places in the code at which a test build can inject faults. Release builds compile them
/// to nothing.

#include <string>

namespace eelgrassgw {

/// Action of an armed failpoint. The last six apply to messages that the process sends.
enum class failpoint_action {
    none,         ///< The failpoint is not armed.
    skip,         ///< The caller skips the guarded step.
    error,        ///< The caller behaves as if the step had failed.
    unreachable,  ///< The message is not sent.
    lose_request, ///< The message is lost before it reaches the peer.
    lose_answer,  ///< The message takes effect, and its answer is lost.
    late,         ///< The sender gets no answer, and the message takes effect later.
    twice,        ///< The message is sent twice.
    slow,         ///< The message is delayed before it is sent.
};

namespace internal {
failpoint_action hit_failpoint(const char* name);
} // namespace internal

/// Arms failpoints from a list such as "journal_write=exit:2,seal=skip,fold=freeze". The action `exit` kills
/// the process immediately, `freeze` stops it with SIGSTOP, and `failpoint` returns the actions listed above.
/// A number after the colon selects the hit at which the failpoint fires: "2" means the second hit only, and
/// "2+" means the second and all later hits. Without a number, every hit fires. Has no effect in release
/// builds.
void arm_failpoints(const std::string& text);

/// Hits the failpoint `name` and returns its action if it fires. Thread-safe. Example:
/// `if (failpoint("seal") == failpoint_action::skip) { return; }`
inline failpoint_action failpoint([[maybe_unused]] const char* name) {
#ifdef EELGRASSGW_FAILPOINTS
    return internal::hit_failpoint(name);
#else
    return failpoint_action::none;
#endif
}

} // namespace eelgrassgw

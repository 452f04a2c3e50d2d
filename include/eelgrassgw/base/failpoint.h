#pragma once

/// Named places at which a test build can fail. Release builds compile them to nothing.

#include <string>

namespace eelgrassgw {

/// What an armed failpoint does at its place. The last five are for messages.
enum class failpoint_action {
    none,         ///< Not armed.
    skip,         ///< The caller leaves out the guarded step.
    error,        ///< The caller behaves as if the step had failed.
    unreachable,  ///< The message is not sent.
    lose_request, ///< The message is lost on its way.
    lose_answer,  ///< The message has its effect, and its answer is lost.
    late,         ///< The sender hears nothing, and the message has its effect later.
    twice,        ///< The message arrives a second time.
    slow,         ///< The message is held up first.
};

namespace internal {
failpoint_action hit_failpoint(const char* name);
} // namespace internal

/// Arms failpoints from a text such as "journal_write=exit:2,seal=skip,fold=freeze". `exit` ends the
/// process at once, `freeze` stops it with SIGSTOP, the actions above are returned by `failpoint`; a number
/// after the colon says at which pass (1 is the first), "2+" means the second and all later ones. Does
/// nothing in release builds.
void arm_failpoints(const std::string& text);

/// Marks a place. Example: `if (failpoint("seal") == failpoint_action::skip) { return; }`. Thread-safe.
inline failpoint_action failpoint([[maybe_unused]] const char* name) {
#ifdef EELGRASSGW_FAILPOINTS
    return internal::hit_failpoint(name);
#else
    return failpoint_action::none;
#endif
}

} // namespace eelgrassgw

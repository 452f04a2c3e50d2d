#pragma once

/// Errors of the project: a `std::error_code` plus the step that failed and the peer that was involved.

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace eelgrassgw {

/// Error conditions of the project, which convert to `std::error_code`.
enum class errc {
    unreachable = 1,       ///< The message was not sent, so it had no effect.
    outcome_unknown,       ///< The message was sent without an answer, so it may have taken effect.
    version_conflict,      ///< A conditional write found another version than it expected.
    malformed,             ///< A message or a document does not have the required form.
    not_found,             ///< The named object does not exist.
    refused,               ///< The peer answered with an error.
    fenced,                ///< This incarnation of the process is sealed and must not act any more.
    budget_exhausted,      ///< The ledger reports that the budget has no free tokens.
    budget_unreachable,    ///< The ledger is unreachable, and the local allowance is too small.
    invalid_configuration, ///< A configuration breaks a rule.
    unauthenticated,       ///< The sender did not prove its identity.
    draining,              ///< The process is stopping and accepts no new work.
    broken_stream,         ///< A stream ended before its end marker.
    deadline_exceeded,     ///< The time limit of the step has passed.
    key_reused,            ///< An idempotency key was used again with another body.
    ran_before,            ///< An earlier incarnation may have run the request.
    rebuilding,            ///< The agent does not yet know which requests its predecessor ran.
    overloaded,            ///< A bounded queue is full.
    reply_too_large,       ///< A reply is larger than the caller wants to read.
};

/// Returns the `std::error_code` for `e`. Thread-safe.
std::error_code make_error_code(errc e) noexcept;

/// Describes an error: its code, the step that failed, the peer, and the cause.
struct failure {
    std::error_code code;
    std::string step;    ///< Name of the step that failed, for example "journal write".
    std::string peer;    ///< Address or name of the peer; empty for a local step.
    std::string message; ///< Cause of the error.

    /// Returns the error as one line for logs and operators.
    std::string text() const;
};

/// Returns a failure with one of the project's own error conditions.
failure make_failure(errc code, std::string step, std::string peer, std::string message);

/// Holds either a value or a `failure`. Callers must check `ok()` first: `value()` requires a value, and
/// `error()` requires a failure.
template <class T>
class [[nodiscard]] result {
public:
    result(T value) : content_(std::move(value)) {}
    result(failure error) : content_(std::move(error)) {}

    bool ok() const { return content_.index() == 0; }
    explicit operator bool() const { return ok(); }

    T& value() { return std::get<0>(content_); }
    const T& value() const { return std::get<0>(content_); }
    const failure& error() const { return std::get<1>(content_); }
    bool failed_with(errc code) const { return !ok() && error().code == make_error_code(code); }

private:
    std::variant<T, failure> content_;
};

/// Empty value type for a `result` that carries no value on success.
struct done {};

} // namespace eelgrassgw

template <>
struct std::is_error_code_enum<eelgrassgw::errc> : std::true_type {};

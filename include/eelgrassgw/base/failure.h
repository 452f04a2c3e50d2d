#pragma once

/// Errors of the project: a `std::error_code` plus the step and the peer at which it arose.

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace eelgrassgw {

/// Error conditions of the project; convertible to `std::error_code`.
enum class errc {
    unreachable = 1,       ///< The message never left: it certainly had no effect.
    outcome_unknown,       ///< The message left, and no answer came: it may have had its effect.
    version_conflict,      ///< A conditional write met another version.
    malformed,             ///< A message or a document does not have the required form.
    not_found,             ///< The named thing does not exist.
    refused,               ///< The peer answered and declined.
    fenced,                ///< This incarnation is sealed and must not act any more.
    budget_exhausted,      ///< The ledger says that the budget has no free tokens.
    budget_unreachable,    ///< The ledger cannot be asked, and the local allowance is too small.
    invalid_configuration, ///< A configuration breaks a rule.
    unauthenticated,       ///< The sender did not prove who it is.
    draining,              ///< The process is stopping and takes no new work.
    broken_stream,         ///< A stream ended before its end marker.
    deadline_exceeded,     ///< The time allowed for the step is over.
    key_reused,            ///< An idempotency key came with another body.
    ran_before,            ///< An earlier incarnation may have run the request.
    rebuilding,            ///< The agent does not yet know what its predecessor ran.
    overloaded,            ///< A bounded queue is full.
};

/// Makes the `std::error_code` of `e`. Thread-safe.
std::error_code make_error_code(errc e) noexcept;

/// What went wrong, at which step, and with which peer.
struct failure {
    std::error_code code;
    std::string step;    ///< For example "journal write".
    std::string peer;    ///< Address or name of the other side; empty for a local step.
    std::string message; ///< Names the thing that is wrong.

    /// One line for logs and for people.
    std::string text() const;
};

/// Makes a failure from one of the project's own conditions.
failure make_failure(errc code, std::string step, std::string peer, std::string message);

/// Either a value or a `failure`. Precondition of `value()`: `ok()`; of `error()`: `!ok()`.
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

/// The value of a result that carries nothing.
struct done {};

} // namespace eelgrassgw

template <>
struct std::is_error_code_enum<eelgrassgw::errc> : std::true_type {};

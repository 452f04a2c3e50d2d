#pragma once

/// The HTTP statuses by which a caller is told that its request was not run and never will be.

namespace eelgrassgw {

/// Returns whether an answer with this HTTP status promises its caller that the request was not run and never
/// will be. Statuses such as 502 and 504 promise nothing. Thread-safe.
constexpr bool promises_not_run(unsigned status) {
    constexpr unsigned request_timeout = 408;
    constexpr unsigned misdirected_request = 421;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned service_unavailable = 503;
    return status == request_timeout || status == misdirected_request || status == too_many_requests ||
           status == service_unavailable;
}

} // namespace eelgrassgw

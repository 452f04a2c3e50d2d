#pragma once

/// Names requests by what they ask for, so that a request is recognised when it comes again.

#include <string>
#include <string_view>
#include <vector>

namespace eelgrassgw {

/// What a caller asks for. Requests that are repeated have all of it in common, and no ids, times or other
/// headers. The references must outlive the object.
struct request_identity {
    std::string_view method;
    std::string_view host;
    std::string_view path;   ///< Target without its query.
    std::string_view query;  ///< Empty if the target has none.
    std::string_view caller; ///< Name of the customer; empty if the route needs no key.
    std::string_view body;
};

/// Returns the fingerprints of a request: one of all but the query and, if there is a query, one of all with
/// it, because the repetitions of a request may differ in the query or not. The latter begins with the
/// former. No shared part of a prompt has the same text. Thread-safe.
std::vector<std::string> fingerprints_of(const request_identity& request);

/// Returns whether a text is a fingerprint of a request, rather than a part of a prompt. Thread-safe.
bool is_fingerprint(std::string_view text);

/// Returns the fingerprint of a request without its query, from any of its fingerprints. Thread-safe.
/// Precondition: `is_fingerprint(fingerprint)`.
std::string_view without_query(std::string_view fingerprint);

} // namespace eelgrassgw

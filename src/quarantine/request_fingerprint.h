#pragma once

/// Names requests by what they ask for, so that a request is recognised when it comes again.

#include <string>
#include <string_view>
#include <vector>

namespace eelgrassgw {

/// What a caller asks for. The repetitions of a request have it in common, but no ids and times. The texts
/// must outlive the object.
struct request_identity {
    std::string_view method;
    std::string_view host;
    std::string_view path;   ///< Target without its query.
    std::string_view caller; ///< Name of the customer; empty if the route needs no key.
    std::string_view body;
    std::string_view details; ///< Query and description of the prompt; empty if there is neither.
};

/// Returns the fingerprints of a request: a wide one of all but the details and, if there are details, a
/// narrow one of all, because a request that comes again may differ in its details, and one that differs in
/// its details may be another request. No shared part of a prompt has the same text. Thread-safe.
std::vector<std::string> fingerprints_of(const request_identity& request);

/// Returns whether a text is a fingerprint of a request, rather than a part of a prompt. Thread-safe.
bool is_fingerprint(std::string_view text);

/// Returns the wide fingerprint that belongs to a fingerprint. Thread-safe.
std::string_view request_of(std::string_view fingerprint);

} // namespace eelgrassgw

#pragma once

/// Percent-encoding of texts that become part of a request's target.

#include <string>

namespace eelgrassgw {

/// Percent-encodes all bytes except ASCII letters, digits and "-_.~". The result can stand in any part of a
/// target: as one segment of a path, or as a value in a query. Thread-safe.
std::string percent_encode(const std::string& text);

/// Percent-encodes like `percent_encode` but keeps slashes, as for a path of several segments. Thread-safe.
std::string percent_encode_path(const std::string& path);

/// Decodes percent-encoded bytes and copies invalid sequences unchanged. Thread-safe.
std::string percent_decode(const std::string& text);

} // namespace eelgrassgw

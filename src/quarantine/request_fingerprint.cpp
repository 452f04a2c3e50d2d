#include "quarantine/request_fingerprint.h"

#include "eelgrassgw/base/hash.h"

namespace eelgrassgw {

namespace {

// A prompt part holds no colon, since the list of parts uses it as a separator.
constexpr std::string_view prefix = "request:";
constexpr char details_separator = '?';
constexpr std::size_t digest_length = 16;

std::string digest(const std::string& text) {
    return sha256_hex(text).substr(0, digest_length);
}

/// Appends a field and its length, so that no two lists of fields give the same text.
void append_field(std::string& text, std::string_view field) {
    text += std::to_string(field.size());
    text += ' ';
    text += field;
}

} // namespace

std::vector<std::string> fingerprints_of(const request_identity& request) {
    std::string fields;
    for (const std::string_view field :
         {request.method, request.host, request.path, request.caller, request.body}) {
        append_field(fields, field);
    }
    std::vector<std::string> fingerprints{std::string(prefix) + digest(fields)};
    if (!request.details.empty()) {
        fingerprints.push_back(fingerprints.front() + details_separator +
                               digest(std::string(request.details)));
    }
    return fingerprints;
}

bool is_fingerprint(std::string_view text) {
    return text.starts_with(prefix);
}

std::string_view request_of(std::string_view fingerprint) {
    return fingerprint.substr(0, fingerprint.find(details_separator));
}

} // namespace eelgrassgw

#pragma once

/// HTTP messages as the project sees them, free of any library's types.

#include "eelgrassgw/base/json.h"

#include <map>
#include <string>

namespace eelgrassgw {

/// Header fields; names in lower case.
using header_fields = std::map<std::string, std::string>;

struct http_request {
    std::string method = "GET";
    std::string path = "/";
    std::string query; ///< Without the question mark, percent-encoded.
    header_fields headers;
    std::string body;
    std::string peer;            ///< Address of the sender; set on the server's side.
    std::string failpoint_name;  ///< Of the failpoint that guards the sending, in test builds.
    bool body_too_large = false; ///< The body was over the server's limit and was not kept.

    /// The field `name` (lower case), or an empty string.
    std::string header(const std::string& name) const;

    /// The decoded query parameter `name`, or an empty string.
    std::string parameter(const std::string& name) const;
};

struct http_response {
    int status = 200;
    header_fields headers;
    std::string body;

    std::string header(const std::string& name) const;
};

/// A JSON body with its content type.
http_response json_response(int status, const Json::Value& body);

/// Percent-encodes all but letters, digits and "-_.~/".
std::string percent_encode(const std::string& text);
std::string percent_decode(const std::string& text);

/// The standard phrase of a status code.
const char* status_phrase(int status);

} // namespace eelgrassgw

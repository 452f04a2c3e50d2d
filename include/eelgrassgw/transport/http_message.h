#pragma once

/// HTTP messages, independent of the types of the HTTP library.

#include "eelgrassgw/base/json.h"

#include <map>
#include <string>

namespace eelgrassgw {

/// Header fields by their names in lower case.
using header_fields = std::map<std::string, std::string>;

/// An HTTP request, as a client sends it or a server receives it.
struct http_request {
    std::string method = "GET";
    std::string path = "/";
    std::string query; ///< Percent-encoded query without the question mark.
    header_fields headers;
    std::string body;
    std::string peer; ///< Address of the sender; set by the server.

    /// Largest body of the reply, in bytes, that a client reads.
    std::size_t max_reply_bytes = 64U << 20U;

    /// Name of the failpoint that is hit when the request is sent; used in test builds.
    std::string failpoint_name;

    bool body_too_large = false; ///< Whether the body exceeded the server's limit and was discarded.

    /// Returns the header field `name` (in lower case), or an empty string.
    std::string header(const std::string& name) const;

    /// Returns the decoded query parameter `name`, or an empty string.
    std::string parameter(const std::string& name) const;
};

/// An HTTP reply with its whole body.
struct http_response {
    int status = 200;
    header_fields headers;
    std::string body;

    /// Returns the header field `name` (in lower case), or an empty string.
    std::string header(const std::string& name) const;
};

/// Returns a reply with the JSON text of `body` and its content type.
http_response json_response(int status, const Json::Value& body);

/// Returns the text with its ASCII letters in lower case.
std::string to_lower_case(std::string text);

/// Returns the reason phrase of the status code `status`, or "Status" for a code that the table does not
/// list.
const char* status_phrase(int status);

} // namespace eelgrassgw

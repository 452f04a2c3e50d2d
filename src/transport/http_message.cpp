#include "eelgrassgw/transport/http_message.h"

#include "eelgrassgw/base/percent_encoding.h"

#include <algorithm>
#include <cctype>

namespace eelgrassgw {

namespace {

std::string find_header(const header_fields& headers, const std::string& name) {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

} // namespace

std::string http_request::header(const std::string& name) const {
    return find_header(headers, name);
}

std::string http_request::parameter(const std::string& name) const {
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string pair = query.substr(begin, end - begin);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos && pair.compare(0, equals, name) == 0) {
            return percent_decode(pair.substr(equals + 1));
        }
        begin = end + 1;
    }
    return {};
}

std::string http_response::header(const std::string& name) const {
    return find_header(headers, name);
}

http_response json_response(int status, const Json::Value& body) {
    return {status, {{"content-type", "application/json"}}, to_text(body) + "\n"};
}

std::string to_lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

const char* status_phrase(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 402:
        return "Payment Required";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace eelgrassgw

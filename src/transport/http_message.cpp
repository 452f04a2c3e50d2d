#include "eelgrassgw/transport/http_message.h"

#include <algorithm>
#include <cctype>

namespace eelgrassgw {

namespace {

std::string find_header(const header_fields& headers, const std::string& name) {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const int lower = std::tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
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

std::string percent_encode(const std::string& text) {
    static const char digits[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~' || c == '/') {
            out += c;
        } else {
            out += '%';
            out += digits[byte >> 4U];
            out += digits[byte & 0xFU];
        }
    }
    return out;
}

std::string percent_decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
            hex_digit(text[i + 2]) >= 0) {
            out += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
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

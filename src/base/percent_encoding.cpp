#include "eelgrassgw/base/percent_encoding.h"

#include <string_view>

namespace eelgrassgw {

namespace {

/// Characters that have no meaning of their own in a target, besides letters and digits.
constexpr std::string_view unreserved_marks = "-_.~";

bool is_letter_or_digit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

/// Percent-encodes all bytes except letters, digits, the unreserved marks and `also_kept`.
std::string encode(const std::string& text, std::string_view also_kept) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        if (is_letter_or_digit(c) || unreserved_marks.find(c) != std::string_view::npos ||
            also_kept.find(c) != std::string_view::npos) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    return out;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

} // namespace

std::string percent_encode(const std::string& text) {
    return encode(text, "");
}

std::string percent_encode_path(const std::string& path) {
    return encode(path, "/");
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

} // namespace eelgrassgw

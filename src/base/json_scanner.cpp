#include "base/json_scanner.h"

#include <cstddef>
#include <cstring>

namespace eelgrassgw {

namespace {

constexpr std::string_view white_space = " \t\r\n";

std::string_view trim(std::string_view text) {
    const std::size_t first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

/// Returns the position after the string whose opening quote is at `from`, or the end of `text` if it does
/// not end.
std::size_t skip_string(std::string_view text, std::size_t from) {
    std::size_t at = from + 1;
    while (at < text.size()) {
        const void* quote = std::memchr(text.data() + at, '"', text.size() - at);
        if (quote == nullptr) {
            return text.size();
        }
        const std::size_t end = std::size_t(static_cast<const char*>(quote) - text.data());
        std::size_t backslashes = 0;
        while (end - backslashes > from + 1 && text[end - backslashes - 1] == '\\') {
            ++backslashes;
        }
        at = end + 1;
        if (backslashes % 2 == 0) {
            return at;
        }
    }
    return text.size();
}

/// Returns the first position from `from` on of `delimiter` outside all strings and brackets, or the end of
/// `text`.
std::size_t find_delimiter(std::string_view text, std::size_t from, char delimiter) {
    std::size_t depth = 0;
    for (std::size_t at = from; at < text.size();) {
        const char c = text[at];
        if (c == '"') {
            at = skip_string(text, at);
            continue;
        }
        if (c == delimiter && depth == 0) {
            return at;
        }
        depth += c == '[' || c == '{' ? 1 : 0;
        depth -= depth > 0 && (c == ']' || c == '}') ? 1 : 0;
        ++at;
    }
    return text.size();
}

/// Returns the comma-separated texts between the first and the last character of `text`, if these are
/// `opening` and `closing`.
std::vector<std::string_view> split_enclosed(std::string_view text, char opening, char closing) {
    text = trim(text);
    std::vector<std::string_view> pieces;
    if (text.size() < 2 || text.front() != opening || text.back() != closing) {
        return pieces;
    }
    text = text.substr(1, text.size() - 2);
    for (std::size_t from = 0; from < text.size();) {
        const std::size_t end = find_delimiter(text, from, ',');
        const std::string_view piece = trim(text.substr(from, end - from));
        if (!piece.empty()) {
            pieces.push_back(piece);
        }
        from = end + 1;
    }
    return pieces;
}

} // namespace

std::vector<std::string_view> split_json_array(std::string_view array) {
    return split_enclosed(array, '[', ']');
}

std::vector<json_member> split_json_object(std::string_view object) {
    std::vector<json_member> members;
    for (const std::string_view member : split_enclosed(object, '{', '}')) {
        const std::size_t colon = find_delimiter(member, 0, ':');
        const std::string_view key = trim(member.substr(0, colon));
        const bool is_quoted = key.size() >= 2 && key.front() == '"' && key.back() == '"';
        if (is_quoted && colon < member.size()) {
            members.push_back({key.substr(1, key.size() - 2), trim(member.substr(colon + 1))});
        }
    }
    return members;
}

std::string_view find_json_member(const std::vector<json_member>& members, std::string_view name) {
    for (const json_member& each : members) {
        if (each.name == name) {
            return each.value;
        }
    }
    return {};
}

std::string_view find_json_member(std::string_view object, std::string_view name) {
    return find_json_member(split_json_object(object), name);
}

Json::Value parse_json_member(std::string_view object, std::string_view name) {
    return parse_json_member(split_json_object(object), name);
}

Json::Value parse_json_member(const std::vector<json_member>& members, std::string_view name) {
    const result<Json::Value> value = parse_json(std::string(find_json_member(members, name)));
    return value ? value.value() : Json::Value();
}

} // namespace eelgrassgw

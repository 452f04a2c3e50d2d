#pragma once

/// Finds values in the text of a JSON document without parsing the document.

#include "eelgrassgw/base/json.h"

#include <string_view>
#include <vector>

namespace eelgrassgw {

/// Returns the text of each element of a JSON array. Elements are told apart by brackets, commas and quotes
/// only, so that one which no parser accepts does not hide the others. Nesting costs no stack. Returns an
/// empty vector if `array` is no array. Thread-safe. The elements refer to `array`.
std::vector<std::string_view> split_json_array(std::string_view array);

/// One member of a JSON object.
struct json_member {
    std::string_view name; ///< Text between the quotes, in which escapes are not undone.
    std::string_view value;
};

/// Returns the members of a JSON object, told apart as the elements of an array are. Returns an empty vector
/// if `object` is no object. Thread-safe. The members refer to `object`.
std::vector<json_member> split_json_object(std::string_view object);

/// Returns the value of the first of these members with that name; empty if there is none. Thread-safe.
std::string_view find_json_member(const std::vector<json_member>& members, std::string_view name);

/// Returns the text of the member `name` of a JSON object, as `split_json_array` does; empty if `object` is
/// no object or has no such member. Thread-safe.
std::string_view find_json_member(std::string_view object, std::string_view name);

/// Parses the value of a member of a JSON object that need not be one that a parser accepts as a whole.
/// Returns null if the member is absent or unreadable. Thread-safe.
Json::Value parse_json_member(std::string_view object, std::string_view name);

/// As above, among members that have been told apart.
Json::Value parse_json_member(const std::vector<json_member>& members, std::string_view name);

} // namespace eelgrassgw

#pragma once

/// Functions that read and write JSON documents.

#include "eelgrassgw/base/failure.h"

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

using tokens = std::int64_t; ///< Number of tokens, which is also the unit of prices and budgets.

/// Parses `text`. The failure names the position of the error. Thread-safe.
result<Json::Value> parse_json(const std::string& text);

/// Returns `value` as one line with sorted keys and without a trailing newline. Thread-safe.
std::string to_text(const Json::Value& value);

/// Returns `value` as indented lines for human readers. Thread-safe.
std::string to_pretty_text(const Json::Value& value);

/// Returns the string member `name` of `object`, or `fallback` if it is absent or not a string.
std::string string_member(const Json::Value& object, const char* name, const std::string& fallback = {});

/// Returns the integer member `name` of `object`, or `fallback` if it is absent or not an integer.
std::int64_t int_member(const Json::Value& object, const char* name, std::int64_t fallback = 0);

/// Returns the boolean member `name` of `object`, or `fallback` if it is absent or not a boolean.
bool bool_member(const Json::Value& object, const char* name, bool fallback = false);

/// Returns the string elements of the array `list`. Returns an empty vector if `list` is not an array.
std::vector<std::string> string_elements(const Json::Value& list);

/// Returns the member `name` of `object`, or null if `object` is not an object or has no such member.
const Json::Value& member(const Json::Value& object, const char* name);

} // namespace eelgrassgw

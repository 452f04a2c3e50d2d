#pragma once

/// Reading and writing JSON documents.

#include "eelgrassgw/base/failure.h"

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

using tokens = std::int64_t; ///< A number of tokens; also the unit of prices and budgets.

/// Parses `text`; the failure names the place. Thread-safe.
result<Json::Value> parse_json(const std::string& text);

/// One line, keys in order, no trailing newline. Thread-safe.
std::string to_text(const Json::Value& value);

/// Several lines, for people. Thread-safe.
std::string to_pretty_text(const Json::Value& value);

/// The string member `name` of `object`, or `fallback` where it is absent or no string.
std::string string_member(const Json::Value& object, const char* name, const std::string& fallback = {});

/// The integer member `name` of `object`, or `fallback` where it is absent or no integer.
std::int64_t int_member(const Json::Value& object, const char* name, std::int64_t fallback = 0);

/// The boolean member `name` of `object`, or `fallback` where it is absent or no boolean.
bool bool_member(const Json::Value& object, const char* name, bool fallback = false);

/// The strings of an array; empty where `list` is none.
std::vector<std::string> texts_of(const Json::Value& list);

/// The member `name` of `object`, or null where `object` is no object or has no such member.
const Json::Value& member(const Json::Value& object, const char* name);

} // namespace eelgrassgw

#pragma once

/// Decision logs: one JSON object a line.

#include <json/json.h>

#include <string>

namespace eelgrassgw {

enum class log_level { debug, info, warning, error };

/// Sends all later events to `path`, or to standard error where `path` is empty.
/// `process` names the process in every line. Call once, before threads start.
void open_log(const std::string& process, const std::string& path, log_level least);

/// Writes one line: time, level, process, `event`, then the members of `fields`. Thread-safe.
void log_event(log_level level, const char* event, Json::Value fields);

} // namespace eelgrassgw

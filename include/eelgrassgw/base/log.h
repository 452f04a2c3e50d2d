#pragma once

/// Structured log with one JSON object per line.

#include <json/json.h>

#include <string>

namespace eelgrassgw {

/// Severity levels of log events, in ascending order.
enum class log_level { debug, info, warning, error };

/// Sends all later events of at least `min_level` to the file `path`, or to standard error if `path` is
/// empty. Every line names the process as `process`. Call it once, before other threads start.
void open_log(const std::string& process, const std::string& path, log_level min_level);

/// Writes one line with the time, the level, the process, `event` and the members of `fields`. Thread-safe.
void log_event(log_level level, const char* event, Json::Value fields);

} // namespace eelgrassgw

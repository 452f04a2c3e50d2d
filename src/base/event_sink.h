#pragma once

/// Callback through which components report events without depending on a log.

#include <json/json.h>

#include <functional>

namespace eelgrassgw {

/// Receives the name of an event and the values that explain it.
using event_sink_function = std::function<void(const char* event, Json::Value fields)>;

} // namespace eelgrassgw

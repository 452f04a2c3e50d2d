#pragma once

/// Where parts that do not know the log report what changed.

#include <json/json.h>

#include <functional>

namespace eelgrassgw {

/// Takes the name of an event and the inputs that decided it.
using event_sink_function = std::function<void(const char* event, Json::Value fields)>;

} // namespace eelgrassgw

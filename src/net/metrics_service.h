#pragma once

/// Serves a process's metrics over HTTP.

#include "eelgrassgw/base/failure.h"
#include "eelgrassgw/metrics/metrics.h"
#include "net/task.h"

#include <string>

namespace eelgrassgw {

/// Path at which a process serves its metrics.
inline constexpr const char* metrics_path = "/metrics";

/// Starts to serve `metrics` on `address` (IP:port) at `metrics_path`. Precondition: `metrics` outlives the
/// I/O context.
result<done> serve_metrics(asio::io_context& context, const std::string& address,
                           const metrics_registry& metrics);

} // namespace eelgrassgw

#pragma once

/// Serves a process's metrics over HTTP.

#include "eelgrassgw/base/failure.h"
#include "eelgrassgw/metrics/metrics.h"
#include "intake/intake_guard.h"
#include "net/task.h"

#include <string>

namespace eelgrassgw {

/// Path at which a process serves its metrics.
inline constexpr const char* metrics_path = "/metrics";

/// Starts to serve `metrics` on `address` (IP:port) at `metrics_path`. Precondition: `metrics` outlives the
/// I/O context, and so does `intake`, which counts the connections unless it is null.
result<done> serve_metrics(asio::io_context& context, const std::string& address,
                           const metrics_registry& metrics, intake_guard* intake = nullptr);

} // namespace eelgrassgw

#pragma once

/// Provides a small HTTP server for readiness checks, metrics and control calls.

#include "eelgrassgw/base/failure.h"
#include "intake/intake_guard.h"
#include "net/task.h"

#include <functional>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Reads each request completely before it calls the handler, and sends the reply that the handler returns.
/// Every connection has its own task. Not thread-safe.
class http_service {
public:
    /// Returns the reply to a request.
    using handler = std::function<task<text_reply>(text_request)>;

    static constexpr std::chrono::seconds idle_timeout{60}; ///< Longest wait for a request or for a write.
    static constexpr std::size_t max_request_bytes = 4U << 20U; ///< Largest size of a request's body.

    /// Starts to listen on `address` (IP:port) and calls the handler once for each request. `intake` counts
    /// the connections as those of `kind` and outlives the I/O context; if it is null, they are not counted.
    static result<done> start(asio::io_context& context, const std::string& address, handler serve,
                              intake_guard* intake = nullptr, place_kind kind = place_kind::control);
};

/// Opens a listening socket on `address` (IP:port).
result<tcp::acceptor> listen_on(asio::io_context& context, const std::string& address);

/// Builds a reply with the given status, content type and body.
text_reply make_reply(http::status status, const std::string& content_type, std::string body);

} // namespace eelgrassgw

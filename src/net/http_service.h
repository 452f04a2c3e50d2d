#pragma once

/// A small HTTP server for readiness, metrics and control calls.

#include "eelgrassgw/base/failure.h"
#include "net/task.h"

#include <functional>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Serves whole requests with whole replies, a task for each connection. Not thread-safe.
class http_service {
public:
    using handler = std::function<task<text_reply>(text_request)>;

    static constexpr std::chrono::seconds idle_limit{60};
    static constexpr std::size_t largest_request = 4U << 20U; // Bytes.

    /// Starts to listen on `address` (IP:port). The handler is called once for each request.
    static result<done> start(asio::io_context& context, const std::string& address, handler serve);
};

/// Opens a listening socket on `address` (IP:port).
result<tcp::acceptor> listen_on(asio::io_context& context, const std::string& address);

/// A reply with a body of the given type.
text_reply make_reply(http::status status, const std::string& content_type, std::string body);

} // namespace eelgrassgw

#pragma once

/// An HTTP/1.1 server: one thread for each connection, whole or streamed replies.

#include "eelgrassgw/transport/http_message.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace eelgrassgw {

/// The reply to one request. Used by the one thread that handles the request.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    /// Sends a whole reply. Precondition: nothing was sent yet.
    virtual void send(const http_response& response) = 0;

    /// Starts a streamed reply. Returns false where the peer is gone. Precondition: nothing was sent yet.
    virtual bool begin_stream(int status, const header_fields& headers) = 0;

    /// Sends `data` as one chunk at once. Returns false where the peer is gone. Precondition: a stream began.
    virtual bool write(const std::string& data) = 0;

    /// Ends a streamed reply. A stream that is not ended reads as broken at the peer.
    virtual void end_stream() = 0;

    /// Whether the peer closed the connection.
    virtual bool peer_gone() = 0;

    /// Whether `send` or `begin_stream` was called.
    virtual bool started() const = 0;
};

/// Called on the connection's own thread, from many threads at once.
using http_handler = std::function<void(const http_request&, http_exchange&)>;

struct http_server_options {
    std::string address; ///< IP number to listen on.
    unsigned short port = 0;
    unsigned max_threads = 400;
    std::size_t max_body_bytes = 1U << 20U;
    std::string certificate_file; ///< PEM; empty for plain HTTP.
    std::string private_key_file;
    std::chrono::milliseconds write_timeout{10000};
};

/// Serves from its construction until its destruction, which waits for the requests in flight.
class http_server {
public:
    /// Throws `std::exception` where the address cannot be bound.
    http_server(const http_server_options& options, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace eelgrassgw

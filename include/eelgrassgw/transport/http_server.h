#pragma once

/// HTTP/1.1 server with one thread per connection, which sends whole or streamed replies.

#include "eelgrassgw/transport/http_message.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Sends the reply to one request. Only the thread that handles the request may use it.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    /// Sends a whole reply. Precondition: nothing was sent yet.
    virtual void send(const http_response& response) = 0;

    /// Starts a streamed reply. Returns false if the peer has disconnected. Precondition: nothing was sent
    /// yet.
    virtual bool begin_stream(int status, const header_fields& headers) = 0;

    /// Sends `data` immediately as one chunk. Returns false if the peer has disconnected. Precondition:
    /// `begin_stream` was called.
    virtual bool write(const std::string& data) = 0;

    /// Ends a streamed reply. Without this call the peer sees a broken stream.
    virtual void end_stream() = 0;

    /// Returns whether the peer has closed the connection.
    virtual bool is_peer_disconnected() = 0;

    /// Returns whether `send` or `begin_stream` was called.
    virtual bool is_reply_started() const = 0;
};

/// Handles a request on the thread of its connection. Several threads may call it concurrently.
using http_handler = std::function<void(const http_request&, http_exchange&)>;

/// Options of an `http_server`.
struct http_server_options {
    std::string address; ///< IP address to listen on.
    unsigned short port = 0;
    unsigned max_threads = 400;
    std::size_t max_body_bytes = 1U << 20U;
    std::string certificate_file; ///< Path of the certificate in PEM format; empty for plain HTTP.
    std::string private_key_file; ///< Path of the private key in PEM format; empty for plain HTTP.
    std::chrono::milliseconds write_timeout{10000};
};

/// Serves requests from construction until destruction. The destructor waits for the requests in flight.
class http_server {
public:
    /// Throws `std::exception` if the address cannot be bound.
    http_server(const http_server_options& options, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace eelgrassgw

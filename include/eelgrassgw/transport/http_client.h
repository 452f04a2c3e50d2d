#pragma once

/// HTTP/1.1 client.

#include "eelgrassgw/transport/http_message.h"

#include <chrono>
#include <memory>
#include <string>

namespace eelgrassgw {

/// IP address and port of a peer, written as "127.0.0.1:8080".
struct endpoint {
    std::string address;
    unsigned short port = 0;

    /// Returns the endpoint as "address:port".
    std::string text() const;
    bool operator==(const endpoint& other) const { return address == other.address && port == other.port; }
};

/// Parses "address:port". The failure quotes `text`.
result<endpoint> parse_endpoint(const std::string& text);

/// Sets the name of this process, which every later call carries in the header `x-eelgrass-sender`, so that
/// logs and proxies can identify the sender. The name does not authenticate the sender. Call it once, before
/// the first call.
void set_sender_name(const std::string& name);

/// Timeouts of one HTTP call.
struct http_timeouts {
    std::chrono::milliseconds connect{1000}; ///< Time limit for establishing the connection.

    /// Time limit for each wait for the reply's head or for more of its body.
    std::chrono::milliseconds read{5000};
};

/// Reply whose body is read as it arrives. Not thread-safe.
class http_stream {
public:
    virtual ~http_stream() = default;

    /// Returns the HTTP status code.
    virtual int status() const = 0;

    /// Returns the header field `name`, or an empty string.
    virtual std::string header(const std::string& name) const = 0;

    /// Largest line that is collected, in bytes, give or take one read.
    static constexpr std::size_t max_line_bytes = 1U << 20U;
    /// Largest rest of a body that is collected, in bytes, give or take one read.
    static constexpr std::size_t max_rest_bytes = 1U << 20U;

    /// Reads a line without its newline. Returns false at the end of the body, even if the body is
    /// incomplete: the caller must check for an end marker of its protocol. Returns false, too, if the line
    /// is longer than `max_line_bytes`.
    virtual bool read_line(std::string& line) = 0;

    /// Reads and returns the rest of the body, or its beginning if it is longer than `max_rest_bytes`.
    virtual std::string read_rest() = 0;
};

/// Opens a new connection, sends `request` exactly once without retries, and returns when the reply's head
/// has arrived. Errors: `unreachable` (the request was not sent), `outcome_unknown` (the request was sent,
/// but no reply head arrived). Thread-safe.
result<std::unique_ptr<http_stream>> open_http_stream(const endpoint& peer, const http_request& request,
                                                      const http_timeouts& timeouts);

/// Sends `request` exactly once without retries on a new connection, and reads the whole reply. The error is
/// `outcome_unknown` if the body is cut off, however the reply frames it, if it is longer than
/// `request.max_reply_bytes`, or if the reply is no HTTP. A body with neither a length nor chunks is whole if
/// the peer closes the connection without a reset. The errors are otherwise those of `open_http_stream`.
/// Thread-safe.
result<http_response> call_http(const endpoint& peer, const http_request& request,
                                const http_timeouts& timeouts);

/// Calls one peer over a pool of persistent connections. Only idempotent requests may use the pool: if the
/// peer has closed an idle connection, the request is sent again on a new one. Thread-safe.
class http_connection_pool {
public:
    explicit http_connection_pool(endpoint peer);
    ~http_connection_pool();
    http_connection_pool(const http_connection_pool&) = delete;
    http_connection_pool& operator=(const http_connection_pool&) = delete;

    /// Sends `request` and reads the whole reply. The errors are those of `call_http`.
    result<http_response> call(const http_request& request, const http_timeouts& timeouts);
    const endpoint& peer() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace eelgrassgw

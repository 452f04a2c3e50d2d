#pragma once

/// HTTP/1.1 calls to one peer.

#include "eelgrassgw/transport/http_message.h"

#include <chrono>
#include <memory>
#include <string>

namespace eelgrassgw {

/// An IP number and a port, written "127.0.0.1:8080".
struct endpoint {
    std::string address;
    unsigned short port = 0;

    std::string text() const;
    bool operator==(const endpoint& other) const { return address == other.address && port == other.port; }
};

/// Reads "address:port"; the failure names the text.
result<endpoint> parse_endpoint(const std::string& text);

/// Names this process in every call that it sends from now on (header `x-eelgrass-sender`), so that logs and
/// proxies on the way can tell who calls. It proves nothing. Call it once, before the first call.
void set_sender_name(const std::string& name);

struct http_timeouts {
    std::chrono::milliseconds connect{1000};
    std::chrono::milliseconds silence{5000}; ///< Longest wait for the head, or for more of the body.
};

/// A reply whose body is read as it arrives. Used by one thread.
class http_stream {
public:
    virtual ~http_stream() = default;
    virtual int status() const = 0;
    virtual std::string header(const std::string& name) const = 0;

    /// Reads up to the next newline, which is dropped. Returns false at the end of the body, whether it is
    /// whole or cut off: the caller must look for its own end marker.
    virtual bool read_line(std::string& line) = 0;

    /// Reads what is left.
    virtual std::string read_rest() = 0;
};

/// Opens a connection of its own, sends `request` once and never again, and returns when the reply's head is
/// there.
/// Errors: `unreachable` (not sent), `outcome_unknown` (sent, no head came). Thread-safe.
result<std::unique_ptr<http_stream>> open_http_stream(const endpoint& peer, const http_request& request,
                                                      const http_timeouts& timeouts);

/// Sends `request` once and never again on a connection of its own, and reads the whole reply. Where the
/// reply names its length, a shorter body is `outcome_unknown`. Errors as above. Thread-safe.
result<http_response> call_http(const endpoint& peer, const http_request& request,
                                const http_timeouts& timeouts);

/// Calls to one peer over connections that are kept. Only for requests that may arrive twice: a kept
/// connection that the peer closed meanwhile makes the library send again. Thread-safe.
class http_connection_pool {
public:
    explicit http_connection_pool(endpoint peer);
    ~http_connection_pool();
    http_connection_pool(const http_connection_pool&) = delete;
    http_connection_pool& operator=(const http_connection_pool&) = delete;

    result<http_response> call(const http_request& request, const http_timeouts& timeouts);
    const endpoint& peer() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace eelgrassgw

#pragma once

/// Connections to HTTP servers, kept for reuse.

#include "eelgrassgw/base/failure.h"
#include "net/task.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A connection on which at most one request is in progress. Closed when destroyed.
struct connection {
    using clock = std::chrono::steady_clock;

    explicit connection(tcp::socket opened) : socket(std::move(opened)) {}

    tcp::socket socket;
    boost::beast::flat_buffer buffer; ///< Bytes that were read and not parsed yet.
    std::string peer;
    clock::time_point keep_until{};
};

/// Not thread-safe: all tasks run on one thread.
class connection_pool {
public:
    using clock = connection::clock;

    /// How long a peer may leave what was sent to it unacknowledged, and how often an idle one is probed.
    static constexpr std::chrono::milliseconds unacknowledged_limit{2500};
    static constexpr std::size_t most_idle_per_peer = 32;

    explicit connection_pool(asio::io_context& context) : context_(context) {}

    /// A connection to `address` (IP:port), kept or new. Every failure means that nothing was sent.
    task<result<std::unique_ptr<connection>>> open(std::string address,
                                                   std::chrono::milliseconds connect_limit);

    /// Offers a connection for reuse during `keep_for`. Precondition: its last reply is complete.
    void keep(std::unique_ptr<connection> idle, std::chrono::milliseconds keep_for);

    /// Closes all idle connections to `address`.
    void forget(const std::string& address);

    /// Closes idle connections whose time is over or that the peer has closed.
    void close_stale();

    /// Connections made so far.
    std::size_t opened_count() const { return opened_; }

private:
    std::unique_ptr<connection> take_idle(const std::string& address);
    task<result<std::unique_ptr<connection>>> connect(std::string address,
                                                      std::chrono::milliseconds connect_limit);

    asio::io_context& context_;
    std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
    std::size_t opened_ = 0;
};

/// Sets the options that every connection of the data plane has: no delay, and limits that find a silent
/// peer.
void set_connection_options(tcp::socket& socket, std::chrono::milliseconds unacknowledged_limit);

/// Whether nothing arrived on an idle connection: neither an end nor bytes that nobody asked for.
bool is_quiet(tcp::socket& socket);

} // namespace eelgrassgw

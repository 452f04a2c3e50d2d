#pragma once

/// Opens connections to HTTP servers and keeps idle ones for reuse.

#include "eelgrassgw/base/failure.h"
#include "net/read_ahead.h"
#include "net/task.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A connection that carries at most one request at a time. The destructor closes it.
struct connection {
    using clock = std::chrono::steady_clock;

    explicit connection(tcp::socket opened) : socket(std::move(opened)) {}

    /// Returns whether the peer has refused the caller's request whose id has this hash on the connection.
    bool has_refused(std::uint64_t id_hash) const {
        return std::find(refused_requests.begin(), refused_requests.end(), id_hash) != refused_requests.end();
    }

    tcp::socket socket;
    boost::beast::flat_buffer buffer{max_unparsed_bytes}; ///< Bytes that were read but not parsed yet.
    std::string peer;                                     ///< Address of the server (IP:port).
    clock::time_point keep_until{};                       ///< Time at which an idle connection expires.
    int requests_sent = 0; ///< Number of callers' requests that were sent on the connection.
    /// Hashes of the ids of callers' requests that the peer has refused on the connection.
    std::vector<std::uint64_t> refused_requests;
};

/// Opens connections and reuses idle ones. Not thread-safe: all tasks run on one thread.
class connection_pool {
public:
    using clock = connection::clock;

    /// Longest time that sent data or a keep-alive probe may stay unacknowledged; the kernel then closes the
    /// connection.
    static constexpr std::chrono::milliseconds unacknowledged_timeout{2500};
    static constexpr std::size_t max_idle_connections_per_peer = 32;
    /// Largest number of refused requests that a connection remembers. One with more is not kept.
    static constexpr std::size_t max_refused_requests = 256;
    /// Time for which an idle connection is kept if the server does not announce a timeout.
    static constexpr std::chrono::milliseconds default_reuse_time{4000};

    explicit connection_pool(asio::io_context& context) : executor_(context.get_executor()) {}

    /// Opens connections whose timeouts pass on `executor`. Tasks that use the pool run on the same one.
    explicit connection_pool(asio::any_io_executor executor) : executor_(std::move(executor)) {}

    /// Returns an idle or a new connection to `address` (IP:port). A failure means that no request was sent.
    task<result<std::unique_ptr<connection>>> open(std::string address,
                                                   std::chrono::milliseconds connect_timeout);

    /// Keeps a connection for reuse during `keep_for`, or closes it if enough connections to its peer are
    /// idle. Precondition: the last reply on the connection was read completely.
    void keep(std::unique_ptr<connection> idle, std::chrono::milliseconds keep_for);

    /// Keeps a connection that `open` returned and that was not used, for as long as before.
    void put_back(std::unique_ptr<connection> unused);

    /// Closes all idle connections to `address`.
    void close_idle(const std::string& address);

    /// Closes idle connections that have expired and those that the peer has closed.
    void close_stale();

    /// Closes all idle connections.
    void close_all_idle() { idle_.clear(); }

    /// Returns the number of idle connections.
    std::size_t idle_count() const {
        std::size_t count = 0;
        for (const auto& [address, connections] : idle_) {
            count += connections.size();
        }
        return count;
    }

    /// Returns the number of connections opened so far.
    std::size_t opened_count() const { return opened_; }

private:
    std::unique_ptr<connection> take_idle(const std::string& address);
    task<result<std::unique_ptr<connection>>> connect(std::string address,
                                                      std::chrono::milliseconds connect_timeout);

    asio::any_io_executor executor_;
    std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
    std::size_t opened_ = 0;
};

/// Turns off Nagle's algorithm and sets the keep-alive and timeout options that detect a silent peer. The
/// kernel closes the connection when sent data stays unacknowledged for `unacknowledged_timeout`.
void set_connection_options(tcp::socket& socket, std::chrono::milliseconds unacknowledged_timeout);

/// Returns whether an idle connection is still open and has received no unexpected bytes.
bool is_open_without_input(tcp::socket& socket);

/// Returns whether the peer has closed the connection, in any way, also behind bytes that are still to be
/// read.
bool is_closed_by_peer(tcp::socket& socket);

} // namespace eelgrassgw

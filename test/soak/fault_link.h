#pragma once

/// Forwards TCP connections on loopback and injects faults into them: delays, lost bytes and resets.

#include "net/http_service.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// The fault that a link applies to the bytes of all its connections.
enum class link_fault {
    none,           ///< The link forwards all bytes at once.
    delayed,        ///< The link forwards all bytes after a delay.
    silent,         ///< The link discards all bytes but keeps the connections open.
    answers_dropped ///< The link forwards requests and discards the answers.
};

/// Accepts connections and forwards each of them to `target` (IP:port). Not thread-safe.
class fault_link {
public:
    /// Delay of the bytes under `link_fault::delayed`.
    static constexpr std::chrono::milliseconds forwarding_delay{120};

    fault_link(asio::io_context& context, const std::string& listen, std::string target);

    /// Applies `fault` to all connections until the next call.
    void set(link_fault fault) { state_->fault = fault; }

    /// Resets all open connections.
    void reset_connections();

    /// Behaves like a server whose process ends: resets all connections and refuses new ones for `duration`.
    /// Precondition: the link is not down.
    task<void> go_down(std::chrono::milliseconds duration);

    /// Returns whether new connections are refused.
    bool is_down() const { return !acceptor_->is_open(); }

private:
    struct shared_state {
        link_fault fault = link_fault::none;
        std::string target;
        std::vector<std::weak_ptr<tcp::socket>> open_sockets;
    };

    void start_listening();
    static task<void> accept_connections(std::shared_ptr<tcp::acceptor> acceptor,
                                         std::shared_ptr<shared_state> state);
    static task<void> connect_to_target(std::shared_ptr<tcp::socket> client,
                                        std::shared_ptr<shared_state> state);
    static task<void> forward_bytes(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                                    std::shared_ptr<shared_state> state, bool carries_answers);

    asio::io_context& context_;
    std::string listen_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
};

} // namespace eelgrassgw

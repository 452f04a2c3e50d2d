#pragma once

/// Sends notices to the other routers as datagrams, and receives theirs.

#include "eelgrassgw/base/failure.h"
#include "net/task.h"

#include <boost/asio/ip/udp.hpp>
#include <json/json.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A socket for notices, which are JSON objects of some kind. A notice may be lost, repeated or overtaken by
/// a later one. Not thread-safe.
class notice_channel {
public:
    using handler = std::function<result<done>(const Json::Value& notice)>;

    static constexpr std::size_t max_peers = 1024; ///< Maximum number of routers that are known.
    /// Maximum number of routers that get a notice which every router should have but can do without.
    static constexpr std::size_t usual_max_recipients = 64;
    static constexpr std::size_t max_notice_bytes = 8192;

    explicit notice_channel(asio::io_context& context) : socket_(context) {}

    /// Sets the function that handles received notices whose field "kind" has this value. Notices without the
    /// field have the empty kind.
    void set_handler(const std::string& kind, handler handle) { handlers_[kind] = std::move(handle); }

    /// Starts to receive notices at `address`, which has the form IP:port.
    result<done> start(const std::string& address);

    /// Sets the addresses (IP:port) of the routers that receive notices from now on.
    void set_peers(const std::vector<std::string>& peers);

    /// Returns the addresses of the peers.
    std::vector<std::string> peers() const;

    /// Sends a notice to the peers, at most to `max_recipients` of them.
    void send(const Json::Value& notice, std::size_t max_recipients = usual_max_recipients);

    /// Sends a notice to one address (IP:port), which need not be that of a peer.
    void send_to(const std::string& address, const Json::Value& notice);

    /// Handles a received notice. Fails with a description of the fault if it is malformed.
    result<done> handle_datagram(const std::string& datagram);

private:
    task<void> receive();

    /// A router that gets notices.
    struct peer {
        std::string address;
        asio::ip::udp::endpoint endpoint;
    };

    asio::ip::udp::socket socket_;
    std::vector<peer> peers_;
    std::map<std::string, handler> handlers_;
};

} // namespace eelgrassgw

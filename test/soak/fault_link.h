#pragma once

/// A TCP path on loopback that can be delayed, cut, silenced and reset.

#include "net/http_service.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// What a link does to the bytes of all its connections.
enum class link_fault {
    none,
    delayed,        ///< Bytes arrive later.
    silent,         ///< Nothing arrives; connections stay open.
    answers_dropped ///< Requests arrive, answers do not.
};

/// Passes connections on to `target`. Not thread-safe.
class fault_link {
public:
    static constexpr std::chrono::milliseconds delay{120};

    fault_link(asio::io_context& context, const std::string& listen, std::string target);

    void set(link_fault fault) { state_->fault = fault; }

    /// Resets all open connections.
    void reset_connections();

private:
    struct shared_state {
        link_fault fault = link_fault::none;
        std::string target;
        std::vector<std::weak_ptr<tcp::socket>> open;
    };

    static task<void> accept_all(tcp::acceptor acceptor, std::shared_ptr<shared_state> state);
    static task<void> join(std::shared_ptr<tcp::socket> near, std::shared_ptr<shared_state> state);
    static task<void> pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                           std::shared_ptr<shared_state> state, bool carries_answers);

    std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
};

} // namespace eelgrassgw

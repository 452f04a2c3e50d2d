#pragma once

/// Limits the time that operations on a socket may take.

#include "net/task.h"

#include <memory>

namespace eelgrassgw {

/// Closes a socket after a timeout, so that a pending operation on it fails. The destructor cancels the
/// timeout. Precondition: the socket outlives this object. Not thread-safe.
class socket_deadline {
public:
    socket_deadline(tcp::socket& socket, std::chrono::steady_clock::duration timeout)
        : timer_(socket.get_executor(), timeout), state_(std::make_shared<state>()) {
        timer_.async_wait([watched = &socket, state = state_](net_error ec) {
            if (ec || !state->armed) {
                return;
            }
            state->passed = true;
            net_error ignored;
            watched->close(ignored);
        });
    }
    ~socket_deadline() { state_->armed = false; }
    socket_deadline(const socket_deadline&) = delete;
    socket_deadline& operator=(const socket_deadline&) = delete;

    /// Returns whether the timeout passed and the socket was closed.
    bool passed() const { return state_->passed; }

private:
    struct state {
        bool armed = true;
        bool passed = false;
    };

    asio::steady_timer timer_;
    std::shared_ptr<state> state_;
};

} // namespace eelgrassgw

#pragma once

/// Bounds the time of operations on a socket.

#include "net/task.h"

#include <memory>

namespace eelgrassgw {

/// Closes a socket when the time is up; the operation that waits on it then fails. Destroy it to lift the
/// limit. Precondition: the socket outlives this object. Not thread-safe.
class socket_deadline {
public:
    socket_deadline(tcp::socket& socket, std::chrono::steady_clock::duration limit)
        : timer_(socket.get_executor(), limit), state_(std::make_shared<state>()) {
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

    /// Whether the time ran out.
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

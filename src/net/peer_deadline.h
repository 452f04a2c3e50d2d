#pragma once

/// Limits the time that a peer may take, without counting this process's own delay.

#include "net/task.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace eelgrassgw {

/// Closes a socket if its peer has not done its part within a timeout, so that the pending operation on the
/// socket fails. The timeout passes in steps. A step that ends late, because the event loop was behind,
/// counts as one that ended in time. What the peer has done by the end but this process has not yet seen is
/// waited for. Bytes of a reply that arrive extend the timeout by the time that a slow link needs for them.
/// The destructor cancels the timeout. Precondition: the socket outlives this object. Not thread-safe.
class peer_deadline {
public:
    /// What the peer has to do.
    enum class awaited {
        connection, ///< Accept the connection.
        reply,      ///< Send bytes, or close the connection.
    };

    peer_deadline(tcp::socket& socket, std::chrono::steady_clock::duration timeout, awaited what);
    ~peer_deadline();
    peer_deadline(const peer_deadline&) = delete;
    peer_deadline& operator=(const peer_deadline&) = delete;

    /// Slowest rate, in bytes a second, at which a reply may keep arriving after the timeout.
    static constexpr std::size_t min_reply_rate = 128U << 10U;

    /// Counts bytes of the reply that have arrived. They must be counted as they arrive.
    void note_bytes(std::size_t bytes);

    /// Returns whether the timeout passed and the socket was closed.
    bool passed() const;

private:
    struct state;

    static void wait(const std::shared_ptr<state>& waiting);

    std::shared_ptr<state> state_;
};

} // namespace eelgrassgw

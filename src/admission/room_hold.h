#pragma once

/// Keeps room at a backend server between the choice of the server and the send.

#include "backends/backend_directory.h"

#include <cstdint>
#include <memory>
#include <utility>

namespace eelgrassgw {

/// Counts a prompt as unread at its server until this object is destroyed, so that requests which are placed
/// while the connection is opened do not take the same room. Not thread-safe.
class room_hold {
public:
    room_hold(std::shared_ptr<tracked_backend> server, std::int64_t tokens)
        : server_(std::move(server)), tokens_(tokens) {
        server_->unread_tokens += tokens_;
    }
    ~room_hold() { server_->unread_tokens -= tokens_; }
    room_hold(const room_hold&) = delete;
    room_hold& operator=(const room_hold&) = delete;

private:
    std::shared_ptr<tracked_backend> server_;
    std::int64_t tokens_;
};

} // namespace eelgrassgw

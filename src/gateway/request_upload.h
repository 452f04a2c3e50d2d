#pragma once

/// Writes a request to a backend server, also while the server's reply is read.

#include "net/task.h"

#include <chrono>
#include <functional>
#include <memory>

namespace eelgrassgw {

/// Sends one request. A server may answer before it has read the whole body, so a long body is written by a
/// task of its own. Not thread-safe.
class request_upload {
public:
    /// `on_end` is called once the request is no longer needed in memory.
    /// Precondition: `upstream`, and what `on_end` refers to, outlive the upload, which ends with `stop` at
    /// the latest.
    request_upload(tcp::socket& upstream, text_request request, std::function<void()> on_end);

    /// Writes what the connection takes at once, and starts a task for the rest if there is any.
    void start();

    /// Returns whether a part of the request is still to be written.
    bool in_progress() const;

    /// Returns the error that ended the upload; none while it is in progress and after all was written.
    net_error error() const;

    /// Returns whether the server closed or reset the connection during the upload. Its bytes that arrived
    /// before that can still be read, and then look like a regular end.
    bool was_cut() const;

    /// Waits until the upload has ended or `limit` has passed.
    task<void> wait_for_end(std::chrono::milliseconds limit);

    /// Resets the connection if the upload is in progress, and waits until it has ended.
    task<void> stop();

private:
    struct state;

    static task<void> write_rest(std::shared_ptr<state> upload);

    std::shared_ptr<state> state_;
};

} // namespace eelgrassgw

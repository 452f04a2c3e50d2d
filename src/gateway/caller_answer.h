#pragma once

/// Writes the answer to one request to its caller.

#include "net/task.h"

#include <boost/beast/http/empty_body.hpp>

#include <string>

namespace eelgrassgw {

using answer_head = http::response<http::empty_body>;

/// Sends an answer either whole, or as a head, pieces of the body and an end. The caller can tell that an
/// answer without an end is incomplete. Not thread-safe.
class caller_answer {
public:
    /// `keep_alive` says whether the connection may stay open after the answer. `head_only` says that the
    /// answer has no body. Precondition: `caller` outlives this object.
    caller_answer(tcp::socket& caller, bool keep_alive, bool head_only)
        : caller_(caller), keep_alive_(keep_alive), head_only_(head_only) {}

    /// Sends a whole answer. Returns false if the caller has closed the connection. Precondition: nothing was
    /// sent before.
    task<bool> send_whole(text_reply reply);

    /// Sends the head of an answer whose body follows in pieces. Precondition: nothing was sent before.
    task<bool> send_head(answer_head head);

    /// Sends a piece of the body. Precondition: the head was sent.
    task<bool> send_piece(std::string piece);

    /// Ends the body. Precondition: the head was sent.
    task<bool> finish();

    /// Returns whether sending has begun.
    bool started() const { return started_; }

    /// Returns whether a complete answer was sent and the connection can take another request.
    bool connection_reusable() const { return finished_ && keep_alive_; }

    /// Makes the connection close after this answer and announces that to the caller.
    void close_connection_afterwards() { keep_alive_ = false; }

    /// Returns the HTTP status that was sent; 0 if nothing was sent.
    unsigned status() const { return status_; }

private:
    tcp::socket& caller_;
    bool keep_alive_;
    bool head_only_; ///< True if the answer has no body, as for a HEAD request.
    bool started_ = false;
    bool finished_ = false;
    unsigned status_ = 0;
};

} // namespace eelgrassgw

#pragma once

/// Writes the answer of one request to its caller.

#include "net/task.h"

#include <boost/beast/http/empty_body.hpp>

#include <string>

namespace eelgrassgw {

using answer_head = http::response<http::empty_body>;

/// An answer is sent whole, or as a head, pieces and an end. One that is never ended does not look complete.
/// Not thread-safe.
class caller_answer {
public:
    /// `keep` says whether the connection may be kept afterwards. Precondition: `caller` outlives this
    /// object.
    caller_answer(tcp::socket& caller, bool keep, bool head_only)
        : caller_(caller), keep_(keep), head_only_(head_only) {}

    /// Sends a whole answer. Precondition: nothing was sent before. False where the caller is gone.
    task<bool> send_whole(text_reply reply);

    /// Sends the head of an answer that follows in pieces. Precondition: nothing was sent before.
    task<bool> start(answer_head head);

    /// Sends a piece of the body. Precondition: started.
    task<bool> send_piece(std::string piece);

    /// Ends the body. Precondition: started.
    task<bool> finish();

    bool started() const { return started_; }

    /// Whether a complete answer was sent and the connection can take another request.
    bool reusable() const { return finished_ && keep_; }

    /// The connection is closed after this answer, and the caller is told so.
    void close_afterwards() { keep_ = false; }

    unsigned status() const { return status_; }

private:
    tcp::socket& caller_;
    bool keep_;
    bool head_only_; ///< The request was one whose answer has no body.
    bool started_ = false;
    bool finished_ = false;
    unsigned status_ = 0;
};

} // namespace eelgrassgw

#pragma once

/// Writes the answer to one request to its caller.

#include "gateway/caller_connection.h"
#include "intake/intake_guard.h"
#include "net/task.h"

#include <boost/beast/http/empty_body.hpp>

#include <string>

namespace eelgrassgw {

using answer_head = http::response<http::empty_body>;

/// Sends an answer either whole, or as a head, pieces of the body and an end. The caller can tell that an
/// answer without an end is incomplete: its last chunk is missing, or, for a caller that cannot read chunks,
/// its connection is reset. Not thread-safe.
class caller_answer {
public:
    /// Time that a caller has to take an answer of the gateway itself.
    static constexpr std::chrono::milliseconds own_answer_time{1000};

    /// `request` is the request that is answered. `keep_alive` says whether the connection may stay open
    /// after the answer. `place` counts the bytes that the caller has not taken yet. Precondition: `caller`
    /// and `place` outlive this object.
    caller_answer(caller_connection& caller, const text_request& request, bool keep_alive,
                  intake_place& place)
        : caller_(caller), place_(place), keep_alive_(keep_alive),
          head_only_(request.method() == http::verb::head),
          reads_chunks_(request.version() >= first_version_with_chunks) {}

    /// Sends a whole answer. Returns false if the caller has closed the connection. Precondition: nothing was
    /// sent before.
    task<bool> send_whole(text_reply reply);

    /// Sends a whole answer of the gateway itself, and closes the connection if the caller does not take it
    /// in time. The timeout of the request need not run any more. Precondition: as for `send_whole`.
    task<bool> send_own(text_reply reply);

    /// Sends the head of an answer whose body follows in pieces. Precondition: nothing was sent before.
    task<bool> send_head(answer_head head);

    /// Sends a piece of the body. Precondition: the head was sent.
    task<bool> send_piece(std::string piece);

    /// Ends the body. Precondition: the head was sent.
    task<bool> finish();

    /// Gives up an answer, if it has begun and is not finished, so that the caller can tell that its body is
    /// incomplete.
    void break_off();

    /// Returns whether sending has begun.
    bool started() const { return started_; }

    /// Returns whether a complete answer was sent and the connection can take another request.
    bool connection_reusable() const { return finished_ && keep_alive_; }

    /// Makes the connection close after this answer and announces that to the caller.
    void close_connection_afterwards() { keep_alive_ = false; }

    /// Returns the HTTP status that was sent; 0 if nothing was sent.
    unsigned status() const { return status_; }

private:
    bool note_written(net_error ec);

    static constexpr unsigned first_version_with_chunks = 11; ///< HTTP/1.1, as Beast counts versions.

    /// Returns how the connection ends if a write of a body of unknown length is stopped.
    caller_connection::stopped_write_end end_if_stopped() const {
        return reads_chunks_ ? caller_connection::stopped_write_end::in_order
                             : caller_connection::stopped_write_end::reset;
    }

    caller_connection& caller_;
    intake_place& place_;
    bool keep_alive_;
    bool head_only_;    ///< True if the answer has no body, as for a HEAD request.
    bool reads_chunks_; ///< False if a body of unknown length has to end with its connection.
    bool started_ = false;
    bool finished_ = false;
    bool failed_ = false; ///< Whether a write has failed.
    unsigned status_ = 0;
};

} // namespace eelgrassgw

#pragma once

/// Reads one backend server's reply from a connection.

#include "gateway/answer_end.h"
#include "gateway/reply_evidence.h"
#include "gateway/request_upload.h"
#include "net/connection_pool.h"
#include "net/reply_parser.h"

#include <boost/beast/http/buffer_body.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

using reply_head = http::response_header<>;

/// Reads the head and then the body of a reply. Not thread-safe.
class backend_reply {
public:
    using head_classifier = std::function<answer_kind(const reply_head&)>;

    /// `upload` writes the request. `head_only` says that the reply has no body, as for a HEAD request.
    /// Precondition: `upstream` and `upload` outlive this object.
    backend_reply(connection& upstream, request_upload& upload, bool head_only)
        : upstream_(upstream), upload_(upload), head_only_(head_only) {}

    /// Reads reply heads until one belongs to the request, and skips replies to other requests.
    /// Returns `invalid` if no such head arrives; `error()` then gives the cause.
    task<answer_kind> read_head(const head_classifier& classify);

    /// Returns whether a complete head was read.
    bool has_head() const { return parser_.has_value() && parser_->is_header_done(); }

    /// Precondition: `read_head` found a head.
    const reply_head& head() const { return parser_->get().base(); }

    /// Returns how the reply marks the end of its body. Precondition: `read_head` found a head.
    body_framing framing() const;

    /// State of the body after a read: more bytes follow, or none will. `find_end_fault` decides whether a
    /// body that has ended is whole.
    enum class body_state { more, ended };

    /// Reads the next bytes of the body into `piece`, which may stay empty.
    task<body_state> read_body_piece(std::string& piece);

    /// Returns what is known about the end of the body. Precondition: the body has ended.
    body_end end() const { return {framing(), read_error_, upload_was_cut_}; }

    /// Returns how long the connection may be kept for reuse; zero if it must not be reused.
    /// Precondition: the body is whole.
    std::chrono::milliseconds reuse_time() const;

    /// Returns whether the connection ended, in any way, before the reply was complete.
    bool connection_lost() const { return connection_lost_; }

    /// Returns the HTTP statuses of the replies to other requests that were skipped.
    const std::vector<unsigned>& skipped_statuses() const { return skipped_statuses_; }

    /// Returns why the head or the body could not be read; empty if nothing failed.
    const std::string& error() const { return read_error_; }

private:
    static constexpr int max_skipped_replies = 4;
    /// Largest body of a reply to another request that is skipped.
    static constexpr std::size_t max_skipped_bytes = 1U << 20U;
    static constexpr std::size_t piece_bytes = 8192;
    /// Time after the end of a connection in which a close or a reset also ends the upload. An upload that
    /// goes on for longer shows that the server ended its own side only.
    static constexpr std::chrono::milliseconds max_reset_delay{100};

    task<void> note_connection_end();
    void note_failed_read(const char* step, net_error ec);
    task<bool> read_next_head();
    task<bool> skip_body();

    connection& upstream_;
    request_upload& upload_;
    bool head_only_;
    std::vector<unsigned> skipped_statuses_;
    bool connection_lost_ = false;
    bool upload_was_cut_ = false; ///< Whether the upload had been cut when the connection ended.
    std::optional<reply_parser<http::buffer_body>> parser_;
    std::array<char, piece_bytes> piece_buffer_{};
    std::string read_error_;
};

} // namespace eelgrassgw

#pragma once

/// Reads one backend server's reply from a connection.

#include "gateway/reply_evidence.h"
#include "net/connection_pool.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

using reply_head = http::response_header<>;

/// How a reply marks the end of its body.
enum class body_framing {
    length,         ///< The head states the length, or that there is no body.
    chunked,        ///< The last chunk ends the body.
    connection_end, ///< The body ends with its connection.
};

/// Returns the name of a framing in the log.
const char* name_of(body_framing framing);

/// Reads the head and then the body of a reply. Not thread-safe.
class backend_reply {
public:
    using head_classifier = std::function<answer_kind(const reply_head&)>;

    /// `head_only` says that the reply has no body, as for a HEAD request.
    /// Precondition: `upstream` outlives this object.
    backend_reply(connection& upstream, bool head_only) : upstream_(upstream), head_only_(head_only) {}

    /// Reads reply heads until one belongs to the request, and skips replies to other requests.
    /// Returns `invalid` if no such head arrives; `error()` then gives the cause.
    task<answer_kind> read_head(const head_classifier& classify);

    /// Returns whether a complete head was read.
    bool has_head() const { return parser_.has_value() && parser_->is_header_done(); }

    /// Precondition: `read_head` found a head.
    const reply_head& head() const { return parser_->get().base(); }

    /// Returns how the reply marks the end of its body. Precondition: `read_head` found a head.
    body_framing framing() const;

    /// State of the body after a read: more bytes follow, it is complete, or the connection failed.
    enum class body_state { more, complete, broken };

    /// Reads the next bytes of the body into `piece`, which may stay empty.
    task<body_state> read_body_piece(std::string& piece);

    /// Returns how long the connection may be kept for reuse; zero if it must not be reused.
    /// Precondition: the body is complete.
    std::chrono::milliseconds reuse_time() const;

    /// Returns whether the connection ended, in any way, before the reply was complete.
    bool connection_lost() const { return connection_lost_; }

    /// Returns the HTTP statuses of the replies to other requests that were skipped.
    const std::vector<unsigned>& skipped_statuses() const { return skipped_statuses_; }

    /// Returns the cause of the last failure; empty if nothing failed.
    const std::string& error() const { return error_; }

private:
    static constexpr int max_skipped_replies = 4;
    /// Largest body of a reply to another request that is skipped.
    static constexpr std::size_t max_skipped_bytes = 1U << 20U;
    static constexpr std::size_t piece_bytes = 8192;

    void note_failed_read(const char* step, net_error ec);
    task<bool> read_next_head();
    task<bool> skip_body();

    connection& upstream_;
    bool head_only_;
    std::vector<unsigned> skipped_statuses_;
    bool connection_lost_ = false;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, piece_bytes> piece_buffer_{};
    std::string error_;
};

} // namespace eelgrassgw

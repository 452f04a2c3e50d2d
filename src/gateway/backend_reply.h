#pragma once

/// Reads one backend server's reply from a connection.

#include "gateway/request_terms.h"
#include "net/connection_pool.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace eelgrassgw {

using reply_head = http::response_header<>;

/// Not thread-safe.
class backend_reply {
public:
    using judgement = std::function<answer_kind(const reply_head&)>;

    /// How long an idle connection is kept where the server does not say.
    static constexpr std::chrono::milliseconds default_keep{4000};

    /// Precondition: `from` outlives this object.
    backend_reply(connection& from, bool head_only) : from_(from), head_only_(head_only) {}

    /// Reads heads until one that belongs to the request, passing over replies to others.
    /// Returns `invalid` where none comes; `error()` then says why.
    task<answer_kind> read_head(const judgement& judge);

    /// Precondition: `read_head` found a head.
    const reply_head& head() const { return parser_->get().base(); }

    enum class body_state { more, complete, broken };

    /// Reads what comes next of the body into `piece`, which may stay empty.
    task<body_state> read_piece(std::string& piece);

    /// How long the connection may be kept; zero where it must not be used again. Precondition: body
    /// complete.
    std::chrono::milliseconds reusable_for() const;

    const std::string& error() const { return error_; }

private:
    static constexpr int most_foreign_replies = 4;
    static constexpr std::size_t piece_bytes = 8192;

    task<bool> read_next_head();
    task<bool> skip_body();

    connection& from_;
    bool head_only_;
    bool met_foreign_reply_ = false;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, piece_bytes> piece_{};
    std::string error_;
};

} // namespace eelgrassgw

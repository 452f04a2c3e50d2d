#pragma once

/// A connection of the blocking HTTP client.

#include "eelgrassgw/transport/http_client.h"
#include "net/read_ahead.h"
#include "net/reply_parser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <optional>

namespace eelgrassgw {

/// One connection with an event loop of its own, so that each step can be given a time limit. Not
/// thread-safe.
class timed_connection {
    using error_code = boost::system::error_code;
    using milliseconds = std::chrono::milliseconds;

public:
    error_code connect(const endpoint& peer, milliseconds timeout) {
        error_code ec;
        const auto address = boost::asio::ip::make_address(peer.address, ec);
        if (ec) {
            return ec;
        }
        const boost::asio::ip::tcp::endpoint target(address, peer.port);
        return run(timeout, [&](auto done) { stream_.async_connect(target, done); });
    }

    error_code send(const boost::beast::http::request<boost::beast::http::string_body>& request,
                    milliseconds timeout) {
        return run(timeout, [&](auto done) {
            boost::beast::http::async_write(stream_, request,
                                            [done](error_code ec, std::size_t) { done(ec); });
        });
    }

    template <class Parser>
    error_code read_head(Parser& parser, milliseconds timeout) {
        return run(timeout, [&](auto done) {
            boost::beast::http::async_read_header(stream_, buffer_, parser,
                                                  [done](error_code ec, std::size_t) { done(ec); });
        });
    }

    /// Reads heads into new parsers until one is not of an interim reply. `prepare` is called with each
    /// parser before it is used.
    template <class Parser, class Prepare>
    error_code read_final_head(std::optional<Parser>& parser, Prepare prepare, milliseconds timeout) {
        for (int i = 0; i <= max_interim_replies; ++i) {
            parser.emplace();
            prepare(*parser);
            const error_code ec = read_head(*parser, timeout);
            if (ec || !is_interim(parser->get().result_int())) {
                return ec;
            }
        }
        return boost::beast::http::error::bad_status;
    }

    /// Returns whether bytes have arrived that belong to no reply so far.
    bool has_unread_bytes() const { return buffer_.size() > 0; }

    /// Reads the next bytes of the body.
    template <class Parser>
    error_code read_some(Parser& parser, milliseconds timeout) {
        return run(timeout, [&](auto done) {
            boost::beast::http::async_read_some(stream_, buffer_, parser,
                                                [done](error_code ec, std::size_t) { done(ec); });
        });
    }

private:
    static constexpr int max_interim_replies = 4;

    /// Starts an operation and waits for its end. `start` receives the function that takes its result.
    template <class Start>
    error_code run(milliseconds timeout, Start start) {
        error_code result;
        stream_.expires_after(timeout);
        start([&result](error_code ec) { result = ec; });
        loop_.restart();
        loop_.run();
        return result;
    }

    boost::asio::io_context loop_;
    boost::beast::tcp_stream stream_{loop_};
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
};

} // namespace eelgrassgw

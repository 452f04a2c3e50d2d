#pragma once

/// A test client that sends raw bytes to a server and reads the replies.

#include "net/address.h"
#include "net/socket_deadline.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <optional>
#include <string>

namespace eelgrassgw {

/// Uses one connection. Not thread-safe.
class raw_caller {
public:
    explicit raw_caller(asio::io_context& context) : socket_(context) {}

    /// Connects to `address` (IP:port).
    task<void> connect(std::string address) {
        net_error ec;
        co_await socket_.async_connect(parse_address(address).value(), with_error(ec));
    }

    /// Sends the bytes unchanged.
    task<void> send(std::string bytes) {
        net_error ec;
        co_await asio::async_write(socket_, asio::buffer(bytes), with_error(ec));
    }

    /// Connects to `address` (IP:port) and sends the bytes unchanged. It blocks the calling thread, so that
    /// no task of the context runs until the bytes are sent.
    void connect_and_send_blocking(const std::string& address, const std::string& bytes) {
        net_error ignored; // The caller notices a failure by the missing answer.
        socket_.connect(parse_address(address).value(), ignored);
        send_blocking(bytes);
    }

    /// Sends the bytes unchanged. It blocks the calling thread in the same way.
    void send_blocking(const std::string& bytes) {
        net_error ignored; // As above.
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    /// Reads the next answer. Returns nothing if the connection ended or `limit` passed before it was
    /// complete.
    task<std::optional<text_reply>> read_answer(std::chrono::milliseconds limit = std::chrono::seconds(5)) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(64U << 20U);
        net_error ec;
        const socket_deadline deadline(socket_, limit);
        co_await http::async_read(socket_, buffer_, parser, with_error(ec));
        if (ec) {
            co_return std::nullopt;
        }
        co_return parser.release();
    }

    /// What has arrived of an answer.
    struct partial_answer {
        unsigned status = 0; ///< 0 if no whole head came.
        std::string body;    ///< What came of the body.
        bool whole = false;
    };

    /// Reads the next answer, or what comes of it until the connection ends or `limit` has passed.
    task<partial_answer> read_partial_answer(std::chrono::milliseconds limit) {
        http::response_parser<http::string_body> parser;
        net_error ec;
        const socket_deadline deadline(socket_, limit);
        co_await http::async_read(socket_, buffer_, parser, with_error(ec));
        const unsigned status = parser.is_header_done() ? parser.get().result_int() : 0;
        co_return partial_answer{status, parser.get().body(), !ec};
    }

    /// Reads all bytes until the connection ends or `limit` has passed.
    task<std::string> read_to_end(std::chrono::milliseconds limit = std::chrono::seconds(5)) {
        std::string bytes;
        net_error ec;
        const socket_deadline deadline(socket_, limit);
        co_await asio::async_read(socket_, asio::dynamic_buffer(bytes), with_error(ec));
        co_return bytes;
    }

    /// Closes the connection.
    void close() {
        net_error ignored;
        socket_.close(ignored);
    }

private:
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

} // namespace eelgrassgw

#pragma once

/// Defines short names for the asynchronous I/O library and helpers for its coroutines. One thread runs all
/// tasks.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <string>

namespace eelgrassgw {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using net_error = boost::system::error_code;

template <class T>
using task = asio::awaitable<T>;

using text_request = http::request<http::string_body>;
using text_reply = http::response<http::string_body>;

/// Returns a completion token with which an operation stores its error in `ec` instead of throwing.
inline auto with_error(net_error& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

/// Suspends the calling task for `duration`.
inline task<void> sleep_for(std::chrono::steady_clock::duration duration) {
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    net_error ec;
    co_await timer.async_wait(with_error(ec));
}

} // namespace eelgrassgw

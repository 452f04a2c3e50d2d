#pragma once

/// Names of the asynchronous I/O library that the whole data plane uses. One thread runs all tasks.

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

/// Completion token: the operation reports through `ec` instead of throwing.
inline auto with_error(net_error& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

/// Waits for `duration`.
inline task<void> sleep_for(std::chrono::steady_clock::duration duration) {
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    net_error ec;
    co_await timer.async_wait(with_error(ec));
}

} // namespace eelgrassgw

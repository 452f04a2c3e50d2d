#include "net/http_service.h"

#include "net/address.h"
#include "net/connection_pool.h"
#include "net/socket_deadline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrassgw {

namespace {

// Wait after a failed accept, which happens for instance when no file descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{50};

task<void> serve_connection(tcp::socket socket, std::shared_ptr<http_service::handler> serve) {
    boost::beast::flat_buffer buffer{connection::max_unparsed_bytes};
    set_connection_options(socket, connection_pool::unacknowledged_timeout);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(http_service::max_request_bytes);
        net_error ec;
        {
            const socket_deadline deadline(socket, http_service::idle_timeout);
            co_await http::async_read(socket, buffer, parser, with_error(ec));
        }
        if (ec) {
            co_return;
        }
        const bool keep_alive_requested = parser.get().keep_alive();
        text_reply reply = co_await (*serve)(parser.release());
        reply.keep_alive(keep_alive_requested);
        reply.prepare_payload();
        const socket_deadline deadline(socket, http_service::idle_timeout);
        co_await http::async_write(socket, reply, with_error(ec));
        if (ec || !keep_alive_requested) {
            co_return;
        }
    }
}

task<void> accept_connections(tcp::acceptor acceptor, std::shared_ptr<http_service::handler> serve) {
    for (;;) {
        net_error ec;
        tcp::socket socket = co_await acceptor.async_accept(with_error(ec));
        if (ec) {
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        asio::co_spawn(acceptor.get_executor(), serve_connection(std::move(socket), serve), asio::detached);
    }
}

} // namespace

result<done> http_service::start(asio::io_context& context, const std::string& address, handler serve) {
    result<tcp::acceptor> acceptor = listen_on(context, address);
    if (!acceptor) {
        return acceptor.error();
    }
    auto shared_handler = std::make_shared<handler>(std::move(serve));
    asio::co_spawn(context, accept_connections(std::move(acceptor.value()), std::move(shared_handler)),
                   asio::detached);
    return done{};
}

result<tcp::acceptor> listen_on(asio::io_context& context, const std::string& address) {
    const result<tcp::endpoint> endpoint = parse_address(address);
    if (!endpoint) {
        return endpoint.error();
    }
    tcp::acceptor acceptor(context);
    net_error ec;
    acceptor.open(endpoint.value().protocol(), ec);
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint.value(), ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return make_failure(errc::unreachable, "listen", address, ec.message());
    }
    return acceptor;
}

text_reply make_reply(http::status status, const std::string& content_type, std::string body) {
    text_reply reply(status, 11);
    reply.set(http::field::content_type, content_type);
    reply.body() = std::move(body);
    return reply;
}

} // namespace eelgrassgw

#include "eelgrassgw/transport/http_server.h"

#include "eelgrassgw/transport/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <chrono>
#include <future>
#include <thread>

namespace eelgrassgw {
namespace {

/// Starts a server on a loopback address derived from this process's id and stores that address in
/// `server_endpoint`.
std::unique_ptr<http_server> start_server(const http_handler& handler, endpoint& server_endpoint) {
    constexpr int octet_values = 256;
    const int pid = ::getpid();
    server_endpoint = {"127.10." + std::to_string(pid / octet_values % octet_values) + "." +
                           std::to_string(pid % 254 + 1),
                       33000};
    http_server_options options;
    options.address = server_endpoint.address;
    options.port = server_endpoint.port;
    return std::make_unique<http_server>(options, handler);
}

TEST(http_server_test, request_id_is_the_first_header_of_a_stream) {
    endpoint server_endpoint;
    const auto server = start_server(
        [](const http_request&, http_exchange& exchange) {
            (void)exchange.begin_stream(200, {{"content-type", "text/plain"}, {"x-request-id", "q1"}});
            (void)exchange.write("one\n");
            exchange.end_stream();
        },
        server_endpoint);
    const auto stream = open_http_stream(server_endpoint, http_request{}, http_timeouts{});
    ASSERT_TRUE(stream.ok());
    EXPECT_EQ(stream.value()->header("x-request-id"), "q1");
    std::string line;
    EXPECT_TRUE(stream.value()->read_line(line));
    EXPECT_EQ(line, "one");
}

TEST(http_server_test, body_over_the_limit_is_flagged_and_discarded) {
    endpoint server_endpoint;
    const auto server = start_server(
        [](const http_request& request, http_exchange& exchange) {
            exchange.send({request.body_too_large && request.body.empty() ? 413 : 200, {}, ""});
        },
        server_endpoint);
    http_request request;
    request.method = "POST";
    request.body = std::string((1U << 20U) + 1, 'x');
    const auto reply = call_http(server_endpoint, request, http_timeouts{});
    ASSERT_TRUE(reply.ok()) << reply.error().text();
    EXPECT_EQ(reply.value().status, 413);
}

TEST(http_server_test, exception_in_a_handler_is_answered_with_500) {
    endpoint server_endpoint;
    const auto server =
        start_server([](const http_request&, http_exchange&) { throw std::runtime_error("handler failed"); },
                     server_endpoint);
    const auto reply = call_http(server_endpoint, http_request{}, http_timeouts{});
    ASSERT_TRUE(reply.ok());
    EXPECT_EQ(reply.value().status, 500);
}

/// Guards against a caller whose leaving stays unseen behind its next request, so that its run goes on.
TEST(http_server_test, caller_that_leaves_behind_its_next_request_is_noticed) {
    using namespace std::chrono_literals;
    std::promise<void> begun;
    std::promise<bool> noticed;
    endpoint server_endpoint;
    const auto server = start_server(
        [&](const http_request& request, http_exchange& exchange) {
            if (request.path != "/first") {
                return;
            }
            EXPECT_FALSE(exchange.is_peer_disconnected());
            begun.set_value();
            bool is_noticed = false;
            for (int i = 0; i < 200 && !is_noticed; ++i) {
                std::this_thread::sleep_for(10ms);
                is_noticed = exchange.is_peer_disconnected();
            }
            noticed.set_value(is_noticed);
        },
        server_endpoint);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket caller(context);
    caller.connect({boost::asio::ip::make_address(server_endpoint.address),
                    static_cast<std::uint16_t>(server_endpoint.port)});
    boost::asio::write(caller, boost::asio::buffer(std::string("GET /first HTTP/1.1\r\nHost: a\r\n\r\n")));
    begun.get_future().wait();
    boost::asio::write(caller, boost::asio::buffer(std::string("GET /next HTTP/1.1\r\nHost: a\r\n\r\n")));
    caller.close();
    EXPECT_TRUE(noticed.get_future().get());
}

} // namespace
} // namespace eelgrassgw

/// Tests that a request which the router has given up on does not reach its backend server later.
///
/// A paused VM accepts no bytes: the router's kernel keeps the request and would deliver it once the VM
/// continues, even after the router closed the connection.

#include "gateway_fixture.h"

#include <boost/asio/read.hpp>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

const std::string end_marker = "the end of the body";

/// A backend server that accepts one connection and reads nothing until `resume` is called.
class paused_server {
public:
    paused_server(asio::io_context& context, const std::string& address) : socket_(context) {
        auto acceptor = listen_on(context, address);
        EXPECT_TRUE(acceptor.ok());
        net_error ec;
        constexpr int smallest_buffer_bytes = 1024; // The kernel raises it to its own minimum.
        acceptor.value().set_option(asio::socket_base::receive_buffer_size(smallest_buffer_bytes), ec);
        asio::co_spawn(context, accept(std::move(acceptor.value())), asio::detached);
    }

    bool has_connection() const { return socket_.is_open(); }

    /// Reads all bytes that arrive until the connection ends.
    task<std::string> resume() {
        std::string bytes;
        net_error ec;
        co_await asio::async_read(socket_, asio::dynamic_buffer(bytes), with_error(ec));
        co_return bytes;
    }

private:
    task<void> accept(tcp::acceptor acceptor) {
        net_error ec;
        socket_ = co_await acceptor.async_accept(with_error(ec));
    }

    tcp::socket socket_;
};

class abandoned_request_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/book/", "non_idempotent", "plain", 1, 300}, {"/long/", "non_idempotent", "plain", 1}});
        const std::string address = next_loopback_address();
        server = std::make_unique<paused_server>(context, address);
        announce("s1", "plain", address, "ready");
    }

    /// Returns the bytes of a booking that does not fit into the receive buffer of the paused server.
    static std::string large_booking(const std::string& target) {
        return request("POST", target, "", std::string(12000, 'x') + end_marker);
    }

    static bool is_whole(const std::string& received) {
        return received.find(end_marker) != std::string::npos;
    }

    std::unique_ptr<paused_server> server;
};

TEST_F(abandoned_request_test, booking_that_reached_its_deadline_does_not_arrive_later) {
    run([&]() -> task<void> {
        EXPECT_EQ(504U, (co_await call(large_booking("/book/")))->result_int());
        EXPECT_TRUE(server->has_connection());
        EXPECT_FALSE(is_whole(co_await server->resume()));
    });
}

TEST_F(abandoned_request_test, booking_whose_caller_left_does_not_arrive_later) {
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(large_booking("/long/"));
        co_await sleep_for(200ms);
        caller.close();
        co_await sleep_for(200ms);
        EXPECT_FALSE(is_whole(co_await server->resume()));
    });
}

TEST_F(abandoned_request_test, booking_arrives_whole_if_the_server_continues_in_time) {
    run([&]() -> task<void> {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(large_booking("/long/"));
        co_await sleep_for(200ms);
        std::string received;
        asio::co_spawn(
            context, [&]() -> task<void> { received = co_await server->resume(); }, asio::detached);
        co_await sleep_for(200ms);
        caller.close(); // Ends the connection to the server, and with it the reading.
        co_await sleep_for(200ms);
        EXPECT_TRUE(is_whole(received));
    });
}

class reset_beside_answer_test : public gateway_fixture {
protected:
    void SetUp() override {
        configure({{"/short/", "idempotent", "plain", 1, 300}, {"/long/", "idempotent", "plain", 1}});
    }
};

TEST_F(reset_beside_answer_test, answer_in_flight_arrives_whole_while_another_request_is_abandoned) {
    const std::string body(200000, 'b');
    add_backend("s1", "plain", [&](backend_exchange& e) -> task<void> {
        const bool is_short = std::string(e.request().target()) == "/short/";
        co_await sleep_for(is_short ? 2000ms : 500ms);
        co_await e.answer(200, body);
    });
    run([&]() -> task<void> {
        raw_caller patient(context);
        co_await patient.connect(settings.listen);
        co_await patient.send(request("GET", "/long/"));
        EXPECT_EQ(504U, (co_await call(request("GET", "/short/")))->result_int());
        const auto answer = co_await patient.read_answer();
        EXPECT_EQ(body, answer ? answer->body() : "no whole answer");
    });
}

/// The router finds the request and the end of its connection in the same turn of its event loop, as when it
/// is behind with its work.
class closed_caller_test : public gateway_fixture {};

TEST_F(closed_caller_test, request_whose_caller_has_closed_the_connection_reaches_no_server) {
    configure({{"/read/", "idempotent", "plain", 2}});
    const auto& server = add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        raw_caller patient_caller(context);
        co_await patient_caller.connect(settings.listen);
        co_await patient_caller.send(request("GET", "/read/"));
        co_await patient_caller.read_answer(); // The router keeps a connection to the server.
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await sleep_for(50ms);
        caller.send_blocking(request("GET", "/read/"));
        caller.close();
        co_await sleep_for(100ms);
        EXPECT_EQ(1U, server.arrived().size());
    });
}

} // namespace
} // namespace eelgrassgw

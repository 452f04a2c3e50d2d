/// Tests that the router's own delay makes no control call fail, and that control work goes on under load.

#include "busy_router_fixture.h"
#include "net/http_call.h"
#include "net/peer_deadline.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class control_call_test : public ::testing::Test {
protected:
    /// Starts a server that answers after `delay`.
    void serve_after(std::chrono::milliseconds delay) {
        const auto started = http_service::start(context, address, [delay](text_request) -> task<text_reply> {
            co_await sleep_for(delay);
            co_return make_reply(http::status::ok, "text/plain", "answer");
        });
        ASSERT_TRUE(started.ok());
    }
    task<result<text_reply>> call(std::chrono::milliseconds timeout) {
        text_request request(http::verb::get, "/", 11);
        co_return co_await call_http(pool, address, std::move(request), {timeout, timeout});
    }
    /// Holds the event loop up once `delay` has passed.
    void hold_up_after(std::chrono::milliseconds delay, std::chrono::milliseconds duration) {
        timer.expires_after(delay);
        timer.async_wait([duration](net_error) { std::this_thread::sleep_for(duration); });
    }

    asio::io_context context;
    connection_pool pool{context};
    asio::steady_timer timer{context};
    std::string address = next_loopback_address();
};

/// Guards against a timeout that passes while the process itself is behind.
TEST_F(control_call_test, own_delay_does_not_count_as_the_peers) {
    serve_after(50ms);
    hold_up_after(20ms, 600ms);
    run_task(context, [&]() -> task<void> {
        const auto reply = co_await call(200ms);
        EXPECT_TRUE(reply.ok()) << reply.error().text();
    });
}

/// Guards against a reply that has arrived in the socket and is discarded when the timeout passes.
TEST_F(control_call_test, reply_that_has_arrived_is_read_at_the_timeout) {
    auto acceptor = listen_on(context, address);
    ASSERT_TRUE(acceptor.ok());
    std::thread peer([&] {
        tcp::socket socket(context);
        acceptor.value().accept(socket);
        std::this_thread::sleep_for(60ms);
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
        std::this_thread::sleep_for(300ms);
    });
    run_task(context, [&]() -> task<void> {
        const tcp::endpoint endpoint = parse_address(address).value();
        connection opened{tcp::socket(context)};
        net_error ec;
        co_await opened.socket.async_connect(endpoint, with_error(ec));
        const peer_deadline deadline(opened.socket, 100ms, peer_deadline::awaited::reply);
        // Nothing reads the socket while the timeout passes, as when the event loop is behind.
        co_await sleep_for(130ms);
        EXPECT_FALSE(deadline.passed());
        std::string bytes;
        co_await asio::async_read_until(opened.socket, asio::dynamic_buffer(bytes), "ok", with_error(ec));
        EXPECT_FALSE(ec) << ec.message();
    });
    peer.join();
}

/// Guards against deadlines that no longer end calls to a peer that does not answer.
TEST_F(control_call_test, silent_peer_fails_the_call_after_the_timeout) {
    serve_after(5s);
    run_task(context, [&]() -> task<void> {
        const auto started = std::chrono::steady_clock::now();
        const auto reply = co_await call(200ms);
        EXPECT_FALSE(reply.ok());
        EXPECT_NE(std::string::npos, reply.error().text().find("no reply in 200 ms"));
        EXPECT_GE(std::chrono::steady_clock::now() - started, 190ms);
        EXPECT_LT(std::chrono::steady_clock::now() - started, 1s);
    });
}

using control_priority_test = busy_router_fixture;

/// Guards against the fault that a router at capacity applied a changed configuration after 3.6 s and marked
/// the store and its relays as failed.
TEST_F(control_priority_test, busy_router_applies_a_configuration_and_loses_no_store_path) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    start_router();
    run_task(context, [&]() -> task<void> {
        co_await wait_until_ready();
        keep_callers_busy(4000ms);
        co_await sleep_for(1500ms); // Long enough for store calls to begin and end under load.
        configure({{"/new/"}}, 2);
        const auto acknowledged = std::chrono::steady_clock::now();
        while (logged().find("\"version\":2") == std::string::npos &&
               std::chrono::steady_clock::now() - acknowledged < 5s) {
            co_await sleep_for(20ms);
        }
        EXPECT_LT(std::chrono::steady_clock::now() - acknowledged, 3000ms);
        EXPECT_EQ(200U, co_await readiness_status());
        busy = false;
    });
    EXPECT_NE(std::string::npos, logged().find("configuration_in_force"));
    EXPECT_EQ(std::string::npos, logged().find("store_path_lost")) << logged();
    EXPECT_EQ(std::string::npos, logged().find("view_lost")) << logged();
}

} // namespace
} // namespace eelgrassgw

/// Tests that malformed messages of callers, peers, servers and the store disturb nothing but themselves.

#include "gateway_fixture.h"

#include <boost/asio/ip/udp.hpp>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

std::vector<std::string> malformed_messages() {
    return {"",
            "\r\n\r\n",
            std::string("\0\0\0\0", 4),
            std::string(20000, 'x'),
            "GET / HTTP/9.9\r\n\r\n",
            "POST /relays HTTP/1.1\r\nHost: r\r\nContent-Length: 99999999999999999999\r\n\r\n",
            "POST /relays HTTP/1.1\r\nHost: r\r\nContent-Length: 7\r\n\r\nnowhere",
            "GET /read/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: \x01\r\nDeadline-Ms: -5\r\n\r\n",
            "POST /read/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
            std::string(3000, '[')};
}

class malformed_input_test : public gateway_fixture {
protected:
    void SetUp() override {
        settings.notice_listen = next_loopback_address();
        configure({{"/read/"}});
        add_backend("s1", "plain", answering("ok"));
    }

    task<void> send_to(std::string address, std::string message) {
        raw_caller sender(context);
        co_await sender.connect(address);
        co_await sender.send(message);
        co_await sleep_for(5ms);
        sender.close();
    }

    void send_datagram(const std::string& message) {
        const tcp::endpoint target = parse_address(settings.notice_listen).value();
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        net_error ignored;
        socket.send_to(asio::buffer(message), {target.address(), target.port()}, 0, ignored);
    }

    task<void> expect_served() {
        EXPECT_EQ(200U, (co_await call(request("GET", "/read/")))->result_int());
        EXPECT_EQ(200U, co_await readiness_status());
    }
};

TEST_F(malformed_input_test, router_serves_on_after_malformed_messages_at_each_of_its_addresses) {
    run([&]() -> task<void> {
        for (const std::string& message : malformed_messages()) {
            co_await send_to(settings.listen, message);
            co_await send_to(settings.readiness_listen, message);
            co_await send_to(settings.peer_listen, message);
            send_datagram(message);
            co_await expect_served();
        }
    });
}

TEST_F(malformed_input_test, router_follows_changes_after_malformed_objects_in_the_store) {
    run([&]() -> task<void> {
        Json::Value nested;
        for (int i = 0; i < 500; ++i) {
            Json::Value outer;
            outer["state"] = nested;
            nested = outer;
        }
        for (const Json::Value& spec :
             {Json::Value(), Json::Value(7), Json::Value("text"), Json::Value(Json::arrayValue), nested}) {
            store.put("servers", "foreign", spec);
            store.put("config", "other", spec);
            store.put("config", "main", spec);
            co_await sleep_for(150ms);
            co_await expect_served();
        }
        configure({{"/new/"}}, 2);
        co_await sleep_for(300ms);
        EXPECT_EQ(200U, (co_await call(request("GET", "/new/")))->result_int());
    });
}

TEST_F(malformed_input_test, servers_that_answer_with_garbage_do_not_end_the_router) {
    int n = 0;
    add_backend("s2", "plain", [&](backend_exchange& e) -> task<void> {
        const std::vector<std::string> messages = malformed_messages();
        co_await e.write(messages[std::size_t(n++) % messages.size()]);
        e.break_off(false);
    });
    run([&]() -> task<void> {
        for (int i = 0; i < 40; ++i) {
            const auto answer = co_await call(request("GET", "/read/"));
            EXPECT_TRUE(answer.has_value());
        }
    });
}

} // namespace
} // namespace eelgrassgw

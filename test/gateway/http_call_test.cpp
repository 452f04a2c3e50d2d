/// Tests which replies to control calls, such as those of the store, count as whole, at a router and through
/// a relay.

#include "fakes/invalid_replies.h"
#include "loopback.h"
#include "net/http_call.h"
#include "relay/relay.h"
#include "scripted_backend.h"
#include "task_runner.h"

#include <fcntl.h>

#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// How a server ends its reply.
struct reply_end {
    const char* name;
    std::string bytes;  ///< What it writes.
    bool ends_in_order; ///< Whether it then ends the connection in order, or resets it.
    bool whole;         ///< Whether the reply counts as whole.
    bool early = false; ///< Whether it does so while the request is being written.
};

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string chunked_head = ok_line + "Transfer-Encoding: chunked\r\n\r\n";

const reply_end reply_ends[] = {
    {"unframed_ended_in_order", ok_line + "\r\nwhole", true, true},
    {"unframed_reset", ok_line + "\r\nwhole", false, false},
    {"unframed_reset_during_the_request", ok_line + "\r\nwhole", false, false, true},
    {"length_cut_in_order", ok_line + "Content-Length: 6\r\n\r\nwhole", true, false},
    {"length_cut_by_a_reset", ok_line + "Content-Length: 6\r\n\r\nwhole", false, false},
    {"length_cut_by_a_reset_during_the_request", ok_line + "Content-Length: 6\r\n\r\nwhole", false, false,
     true},
    {"length_whole", ok_line + "Content-Length: 5\r\n\r\nwhole", true, true},
    {"chunks_cut_in_order", chunked_head + "5\r\nwhole\r\n", true, false},
    {"chunks_cut_by_a_reset", chunked_head + "5\r\nwhole\r\n", false, false},
    {"chunks_whole", chunked_head + "5\r\nwhole\r\n0\r\n\r\n", true, true},
    {"head_cut_in_order", ok_line, true, false},
    {"nothing", "", true, false},
};

class http_call_fixture : public ::testing::Test {
protected:
    /// Makes one call to a server that runs `script`, directly and through a relay, and returns the replies.
    std::vector<result<text_reply>> call_both_ways(const scripted_backend::script_type& script,
                                                   script_start start, std::size_t body_bytes) {
        const scripted_backend server(context, next_loopback_address(), script, start);
        relay_settings config;
        config.name = "relay";
        config.listen = next_loopback_address();
        config.store = server.address();
        event_log log(open("/dev/null", O_WRONLY), "relay");
        metrics_registry metrics;
        relay store_relay(context, config, log, metrics, [](text_request) -> task<text_reply> {
            co_return make_reply(http::status::not_found, "text/plain", "");
        });
        EXPECT_TRUE(store_relay.start().ok());
        connection_pool pool(context);
        std::vector<result<text_reply>> replies;
        run_task(context, [&]() -> task<void> {
            for (const std::string& address : {server.address(), config.listen}) {
                text_request request(http::verb::put, "/-/objects/kind/name", 11);
                request.body() = std::string(body_bytes, 'b');
                const call_timeouts limits{300ms, 2000ms};
                replies.push_back(co_await call_http(pool, address, std::move(request), limits));
            }
        });
        return replies;
    }

    asio::io_context context;
};

class reply_end_test : public http_call_fixture, public ::testing::WithParamInterface<reply_end> {};

TEST_P(reply_end_test, reply_counts_only_if_it_is_whole) {
    const auto script = [](backend_exchange& e) -> task<void> {
        co_await e.write(GetParam().bytes);
        co_await sleep_for(50ms);
        e.break_off(!GetParam().ends_in_order);
    };
    const script_start start = GetParam().early ? script_start::after_head : script_start::after_request;
    const std::size_t body_bytes = GetParam().early ? 3U << 20U : 10; // Below the limit of the relay.
    const auto replies = call_both_ways(script, start, body_bytes);
    ASSERT_EQ(2U, replies.size());
    EXPECT_EQ(GetParam().whole, replies[0].ok());
    if (GetParam().whole) {
        EXPECT_EQ("whole", replies[0] ? replies[0].value().body() : "");
        EXPECT_EQ("whole", replies[1] ? replies[1].value().body() : "");
    } else {
        EXPECT_FALSE(replies[1] && replies[1].value().result_int() < 500);
    }
}

INSTANTIATE_TEST_SUITE_P(ends, reply_end_test, ::testing::ValuesIn(reply_ends),
                         [](const auto& info) { return std::string(info.param.name); });

class invalid_call_reply_test : public http_call_fixture,
                                public ::testing::WithParamInterface<invalid_reply> {};

TEST_P(invalid_call_reply_test, reply_is_a_failure) {
    const auto replies = call_both_ways(
        [](backend_exchange& e) -> task<void> {
            std::string bytes = GetParam().bytes;
            const std::size_t mark = bytes.find(genuine_lines_mark);
            co_await e.write(mark == std::string::npos ? bytes
                                                       : bytes.erase(mark, genuine_lines_mark.size()));
            e.break_off(false);
        },
        script_start::after_request, 10);
    ASSERT_EQ(2U, replies.size());
    EXPECT_FALSE(replies[0].ok());
    EXPECT_TRUE(replies[1] && replies[1].value().result_int() == 502);
}

INSTANTIATE_TEST_SUITE_P(heads, invalid_call_reply_test, ::testing::ValuesIn(invalid_replies()),
                         [](const auto& info) { return std::string(info.param.name); });

/// Guards against a reply that is thrown away and asked for again while it is still arriving.
TEST_F(http_call_fixture, reply_that_keeps_arriving_is_read_to_its_end_after_the_timeout) {
    const std::string piece(256U << 10U, 'p');
    constexpr int pieces = 12;
    const scripted_backend server(context, next_loopback_address(), [&](backend_exchange& e) -> task<void> {
        co_await e.write(ok_line + "Content-Length: " + std::to_string(piece.size() * pieces) + "\r\n\r\n");
        for (int i = 0; i < pieces; ++i) {
            co_await e.write(piece);
            co_await sleep_for(100ms);
        }
    });
    connection_pool pool(context);
    run_task(context, [&]() -> task<void> {
        text_request request(http::verb::get, "/", 11);
        const auto reply = co_await call_http(pool, server.address(), std::move(request), {300ms, 300ms});
        EXPECT_TRUE(reply.ok()) << reply.error().text();
    });
}

/// Guards against a peer that keeps a call open for ever with a byte now and then.
TEST_F(http_call_fixture, reply_that_trickles_is_given_up) {
    const scripted_backend server(context, next_loopback_address(), [&](backend_exchange& e) -> task<void> {
        co_await e.write(ok_line + "Content-Length: 100000\r\n\r\n");
        while (co_await e.try_write("b")) {
            co_await sleep_for(20ms);
        }
    });
    connection_pool pool(context);
    run_task(context, [&]() -> task<void> {
        const auto started = std::chrono::steady_clock::now();
        text_request request(http::verb::get, "/", 11);
        const auto reply = co_await call_http(pool, server.address(), std::move(request), {300ms, 300ms});
        EXPECT_FALSE(reply.ok());
        EXPECT_LT(std::chrono::steady_clock::now() - started, 1500ms);
    });
}

} // namespace
} // namespace eelgrassgw

/// Tests that a router's ledger client reaches the ledger through a relay, and directly if relays fail or are
/// missing.

#include "faulty_ledger.h"
#include "loopback.h"
#include "net/http_service.h"
#include "relay/ledger_client.h"
#include "task_runner.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class ledger_client_test : public ::testing::Test {
protected:
    /// Starts a relay that answers each request after `pause`, and returns its address.
    std::string start_relay(std::chrono::milliseconds pause = 0ms) {
        const std::string address = next_loopback_address();
        const http_service::handler handler = [this, pause](text_request request) {
            return serve(std::move(request), pause);
        };
        EXPECT_TRUE(http_service::start(context, address, handler).ok());
        return address;
    }

    task<text_reply> serve(text_request request, std::chrono::milliseconds pause) {
        co_await sleep_for(pause);
        const auto parsed = parse_ledger_request(parse_json(request.body()).value());
        ++relay_request_count;
        const ledger_outcome outcome = co_await relay_writer.submit(parsed.value());
        const auto status = outcome.still_trying ? http::status::accepted : http::status::ok;
        co_return make_reply(status, "application/json", to_text(to_json(outcome)));
    }

    ledger_outcome submit(std::uint64_t sequence) {
        ledger_request request;
        request.router = "a";
        request.sequence = sequence;
        request.previous = sequence - 1;
        request.changes["c"] = {10, 1000};
        ledger_outcome outcome;
        run_task(context, [&]() -> task<void> { outcome = co_await client.submit(request); });
        return outcome;
    }

    tokens taken_tokens() const { return ledger->stored.ledger.taken_by_all("c"); }

    static void ignore_event(const char*, Json::Value) {}

    asio::io_context context;
    std::shared_ptr<shared_ledger> ledger = std::make_shared<shared_ledger>();
    faulty_writer relay_writer{context, faulty_ledger(ledger), ignore_event};
    faulty_writer direct_writer{context, faulty_ledger(ledger), ignore_event};
    connection_pool pool{context};
    ledger_client<faulty_writer> client{pool, direct_writer, ignore_event};
    int relay_request_count = 0;
};

TEST_F(ledger_client_test, request_goes_through_a_relay) {
    client.set_relays({start_relay()});
    EXPECT_EQ(ledger_outcome::status_kind::applied, submit(1).status);
    EXPECT_EQ(1, relay_request_count);
}

TEST_F(ledger_client_test, without_relays_the_router_writes_to_the_store_itself) {
    EXPECT_EQ(ledger_outcome::status_kind::applied, submit(1).status);
    EXPECT_EQ(10, taken_tokens());
}

TEST_F(ledger_client_test, unreachable_relay_is_skipped) {
    client.set_relays({next_loopback_address()});
    EXPECT_EQ(ledger_outcome::status_kind::applied, submit(1).status);
    EXPECT_EQ(0, relay_request_count);
}

TEST_F(ledger_client_test, late_write_of_a_slow_relay_is_not_counted_twice) {
    client.set_relays({start_relay(900ms)});
    EXPECT_EQ(ledger_outcome::status_kind::applied, submit(1).status);
    run_task(context, []() -> task<void> { co_await sleep_for(600ms); });
    EXPECT_EQ(1, relay_request_count);
    EXPECT_EQ(10, taken_tokens());
}

TEST_F(ledger_client_test, relay_with_a_slow_store_is_polled_and_no_other_relay_is_asked) {
    ledger->added_latency = 400ms;
    client.set_relays({start_relay(), start_relay()});
    EXPECT_EQ(ledger_outcome::status_kind::applied, submit(1).status);
    EXPECT_EQ(10, taken_tokens());
    EXPECT_EQ(1, ledger->writes);
}

TEST_F(ledger_client_test, failed_relay_is_avoided_for_a_while) {
    client.set_relays({start_relay(900ms)});
    submit(1);
    const auto started = std::chrono::steady_clock::now();
    EXPECT_EQ(ledger_outcome::status_kind::applied, submit(2).status);
    EXPECT_LT(std::chrono::steady_clock::now() - started, 500ms);
}

} // namespace
} // namespace eelgrassgw

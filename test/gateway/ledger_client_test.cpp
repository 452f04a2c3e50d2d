/// A router's way to the ledger while relays answer, fail, and are not there.

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
    /// A relay that joins requests, after a pause.
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
        const auto asked = parse_ledger_request(parse_json(request.body()).value());
        ++at_relays;
        const ledger_outcome outcome = co_await joint.submit(asked.value());
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

    tokens taken() const { return ledger->stored.ledger.taken_by_all("c"); }

    static void ignore(const char*, Json::Value) {}

    asio::io_context context;
    std::shared_ptr<shared_ledger> ledger = std::make_shared<shared_ledger>();
    faulty_writer joint{context, faulty_ledger(ledger), ignore};
    faulty_writer own{context, faulty_ledger(ledger), ignore};
    connection_pool pool{context};
    ledger_client<faulty_writer> client{pool, own, ignore};
    int at_relays = 0;
};

TEST_F(ledger_client_test, request_goes_through_a_relay) {
    client.set_relays({start_relay()});
    EXPECT_EQ(ledger_outcome::kind::applied, submit(1).status);
    EXPECT_EQ(1, at_relays);
}

TEST_F(ledger_client_test, without_relays_the_router_writes_itself) {
    EXPECT_EQ(ledger_outcome::kind::applied, submit(1).status);
    EXPECT_EQ(10, taken());
}

TEST_F(ledger_client_test, dead_relay_is_passed_over) {
    client.set_relays({next_loopback_address()});
    EXPECT_EQ(ledger_outcome::kind::applied, submit(1).status);
    EXPECT_EQ(0, at_relays);
}

TEST_F(ledger_client_test, slow_relay_that_writes_after_all_takes_nothing_twice) {
    client.set_relays({start_relay(900ms)});
    EXPECT_EQ(ledger_outcome::kind::applied, submit(1).status);
    run_task(context, []() -> task<void> { co_await sleep_for(600ms); });
    EXPECT_EQ(1, at_relays);
    EXPECT_EQ(10, taken());
}

TEST_F(ledger_client_test, relay_at_a_slow_store_is_asked_on_and_no_other) {
    ledger->slow = 400ms;
    client.set_relays({start_relay(), start_relay()});
    EXPECT_EQ(ledger_outcome::kind::applied, submit(1).status);
    EXPECT_EQ(10, taken());
    EXPECT_EQ(1, ledger->writes);
}

TEST_F(ledger_client_test, relay_that_failed_is_left_alone_for_a_while) {
    client.set_relays({start_relay(900ms)});
    submit(1);
    const auto begun = std::chrono::steady_clock::now();
    EXPECT_EQ(ledger_outcome::kind::applied, submit(2).status);
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 500ms);
}

} // namespace
} // namespace eelgrassgw

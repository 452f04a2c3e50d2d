/// Tests the HTTP statuses with which a relay answers ledger requests.

#include "gateway_fixture.h"
#include "relay/ledger_endpoint.h"

namespace eelgrassgw {
namespace {

class ledger_endpoint_test : public gateway_fixture {
protected:
    unsigned post(const std::string& body) {
        unsigned status = 0;
        run_task(context, [&]() -> task<void> {
            text_request request(http::verb::post, ledger_path, 11);
            request.body() = body;
            const http_service::handler handler = endpoint.handler();
            const text_reply reply = co_await handler(std::move(request));
            status = reply.result_int();
        });
        return status;
    }

    static std::string take_request() {
        ledger_request request;
        request.router = "a";
        request.sequence = 1;
        request.changes["acme"] = {10, 1000};
        return to_text(to_json(request));
    }

    ledger_endpoint<platform::budget_store> endpoint{context, store.address(), [](const char*, Json::Value) {
                                                     }};
};

TEST_F(ledger_endpoint_test, request_that_is_written_gets_200) {
    EXPECT_EQ(200U, post(take_request()));
    EXPECT_EQ(10, taken_tokens());
}

TEST_F(ledger_endpoint_test, request_that_waits_for_the_store_gets_202) {
    store.silent = true;
    EXPECT_EQ(202U, post(take_request()));
}

TEST_F(ledger_endpoint_test, request_whose_outcome_the_store_leaves_unknown_gets_no_promise) {
    store.busy = true;
    EXPECT_EQ(504U, post(take_request()));
}

TEST_F(ledger_endpoint_test, request_that_cannot_be_parsed_gets_400) {
    EXPECT_EQ(400U, post("{}"));
}

} // namespace
} // namespace eelgrassgw

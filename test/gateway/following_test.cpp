/// The configuration and the list of backend servers as they change, and a store that comes and goes.

#include "gateway_fixture.h"
#include "relay/ledger_endpoint.h"
#include "relay/relay.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class following_test : public gateway_fixture {
protected:
    task<unsigned> status_of(std::string target) {
        co_return (co_await call(request("GET", target)))->result_int();
    }
};

TEST_F(following_test, router_without_a_configuration_is_not_ready_and_refuses_as_not_run) {
    router = std::make_unique<gateway_type>(context, settings, log, metrics);
    ASSERT_TRUE(router->start().ok());
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(503U, co_await readiness());
        EXPECT_EQ(503U, co_await status_of("/read/"));
    });
}

TEST_F(following_test, added_route_is_served_and_dropped_route_is_not) {
    configure({{"/old/"}});
    add_backend("s1", "plain", always("ok"));
    run([&]() -> task<void> {
        EXPECT_EQ(404U, co_await status_of("/new/"));
        configure({{"/new/"}}, 2);
        co_await sleep_for(200ms);
        EXPECT_EQ(200U, co_await status_of("/new/"));
        EXPECT_EQ(404U, co_await status_of("/old/"));
    });
}

TEST_F(following_test, older_version_never_comes_back) {
    configure({{"/new/"}}, 5);
    add_backend("s1", "plain", always("ok"));
    run([&]() -> task<void> {
        configure({{"/old/"}}, 4);
        co_await sleep_for(200ms);
        EXPECT_EQ(200U, co_await status_of("/new/"));
    });
}

TEST_F(following_test, unusable_configuration_leaves_the_one_in_force) {
    configure({{"/read/"}});
    add_backend("s1", "plain", always("ok"));
    run([&]() -> task<void> {
        store.put("config", "main", Json::Value("not a configuration"));
        co_await sleep_for(200ms);
        EXPECT_EQ(200U, co_await status_of("/read/"));
    });
}

TEST_F(following_test, unknown_key_is_refused) {
    configure({{"/read/"}});
    add_backend("s1", "plain", always("ok"));
    run([&]() -> task<void> {
        std::string bytes = request("GET", "/read/");
        bytes.replace(bytes.find("key-1"), 5, "key-9");
        EXPECT_EQ(401U, (co_await call(bytes))->result_int());
    });
}

TEST_F(following_test, draining_server_gets_nothing_new) {
    configure({{"/read/"}});
    auto& leaving = add_backend("s1", "plain", always("ok"));
    add_backend("s2", "plain", always("ok"));
    run([&]() -> task<void> {
        announce("s1", "plain", leaving.address(), "draining");
        co_await sleep_for(200ms);
        for (int i = 0; i < 10; ++i) {
            EXPECT_EQ(200U, co_await status_of("/read/"));
        }
        EXPECT_TRUE(leaving.arrived().empty());
    });
}

TEST_F(following_test, foreign_entry_names_no_server_and_harms_no_other) {
    configure({{"/read/"}});
    add_backend("s1", "plain", always("ok"));
    Json::Value foreign;
    foreign["service"] = "plain";
    foreign["address"] = 7;
    store.put("servers", "foreign", foreign);
    store.put("servers", "text", Json::Value("bytes"));
    run([&]() -> task<void> { EXPECT_EQ(200U, co_await status_of("/read/")); });
}

TEST_F(following_test, list_in_pages_is_read_to_its_end) {
    configure({{"/read/"}});
    store.page_size = 1;
    auto& last = add_backend("s3", "plain", always("ok"));
    announce("s1", "plain", last.address(), "draining");
    announce("s2", "plain", last.address(), "draining");
    run([&]() -> task<void> { EXPECT_EQ(200U, co_await status_of("/read/")); });
}

TEST_F(following_test, lost_history_is_listed_again) {
    configure({{"/old/"}});
    add_backend("s1", "plain", always("ok"));
    run([&]() -> task<void> {
        store.history_gone = true;
        configure({{"/new/"}}, 2);
        co_await sleep_for(500ms);
        configure({{"/newer/"}}, 3);
        co_await sleep_for(500ms);
        EXPECT_EQ(200U, co_await status_of("/newer/"));
    });
}

TEST_F(following_test, router_serves_on_while_the_store_is_silent) {
    configure({{"/read/"}});
    add_backend("s1", "plain", always("ok"));
    run([&]() -> task<void> {
        store.silent = true;
        co_await sleep_for(1500ms);
        EXPECT_EQ(200U, co_await status_of("/read/"));
        EXPECT_EQ(200U, co_await readiness());
    });
}

/// A second store front that stands for the same store seen from the relay's VM.
class relayed_store_test : public following_test {
protected:
    void start_relay() {
        relay_settings own;
        own.name = "relay";
        own.listen = next_loopback_address();
        own.store = store.address();
        own.peers = {settings.peer_listen};
        ledger = std::make_unique<ledger_endpoint<platform::budget_store>>(context, own.store,
                                                                           [](const char*, Json::Value) {});
        passing = std::make_unique<relay>(context, own, log, metrics, ledger->handler());
        ASSERT_TRUE(passing->start().ok());
    }
    std::unique_ptr<ledger_endpoint<platform::budget_store>> ledger;
    std::unique_ptr<relay> passing;
};

TEST_F(relayed_store_test, router_that_starts_cut_off_reads_the_store_through_a_relay) {
    configure({{"/read/"}});
    add_backend("s1", "plain", always("ok"));
    settings.store = next_loopback_address(); // Nothing listens there: this VM cannot reach the store.
    start_relay();
    run([&]() -> task<void> { EXPECT_EQ(200U, co_await status_of("/read/")); });
}

TEST_F(relayed_store_test, budgets_are_taken_through_a_relay) {
    configure({{"/ask/", "streaming", "models", 1, 3000, true, false}});
    add_backend("s1", "models", [](backend_exchange& e) -> task<void> {
        co_await e.start_stream();
        co_await e.piece("id: 1\ndata: a\n\n");
        co_await e.end();
    });
    settings.store = next_loopback_address();
    start_relay();
    run([&]() -> task<void> {
        const std::string headers = "Token-Counts: 1000,60\r\nPrompt-Prefix: aa:10,bb:10\r\n";
        EXPECT_EQ(200U, (co_await call(request("POST", "/ask/", headers, "p")))->result_int());
        EXPECT_GE(taken(), 1006);
    });
}

} // namespace
} // namespace eelgrassgw

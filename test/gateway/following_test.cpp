/// Tests that the router follows changes of the configuration and of the backend servers, also while the
/// store is unavailable.

#include "gateway_fixture.h"
#include "relay/ledger_endpoint.h"
#include "relay/relay.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class following_test : public gateway_fixture {
protected:
    task<unsigned> get_status(std::string target) {
        co_return (co_await call(request("GET", target)))->result_int();
    }
};

TEST_F(following_test, router_without_a_configuration_is_not_ready_and_refuses_as_not_run) {
    router = std::make_unique<gateway_type>(context, settings, log, metrics);
    ASSERT_TRUE(router->start().ok());
    run_task(context, [&]() -> task<void> {
        EXPECT_EQ(503U, co_await readiness_status());
        EXPECT_EQ(503U, co_await get_status("/read/"));
    });
}

TEST_F(following_test, added_route_is_served_and_removed_route_is_not) {
    configure({{"/old/"}});
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        EXPECT_EQ(404U, co_await get_status("/new/"));
        configure({{"/new/"}}, 2);
        co_await sleep_for(200ms);
        EXPECT_EQ(200U, co_await get_status("/new/"));
        EXPECT_EQ(404U, co_await get_status("/old/"));
    });
}

TEST_F(following_test, older_version_does_not_replace_a_newer_one) {
    configure({{"/new/"}}, 5);
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        configure({{"/old/"}}, 4);
        co_await sleep_for(200ms);
        EXPECT_EQ(200U, co_await get_status("/new/"));
    });
}

TEST_F(following_test, invalid_configuration_does_not_replace_the_current_one) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        store.put("config", "main", Json::Value("not a configuration"));
        co_await sleep_for(200ms);
        EXPECT_EQ(200U, co_await get_status("/read/"));
    });
}

TEST_F(following_test, unknown_key_is_refused) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        std::string bytes = request("GET", "/read/");
        bytes.replace(bytes.find("key-1"), 5, "key-9");
        EXPECT_EQ(401U, (co_await call(bytes))->result_int());
    });
}

TEST_F(following_test, draining_server_gets_no_new_requests) {
    configure({{"/read/"}});
    auto& draining_server = add_backend("s1", "plain", answering("ok"));
    add_backend("s2", "plain", answering("ok"));
    run([&]() -> task<void> {
        announce("s1", "plain", draining_server.address(), "draining");
        co_await sleep_for(200ms);
        for (int i = 0; i < 10; ++i) {
            EXPECT_EQ(200U, co_await get_status("/read/"));
        }
        EXPECT_TRUE(draining_server.arrived().empty());
    });
}

TEST_F(following_test, invalid_entry_is_ignored_and_affects_no_other_server) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    Json::Value invalid_entry;
    invalid_entry["service"] = "plain";
    invalid_entry["address"] = 7;
    store.put("servers", "foreign", invalid_entry);
    store.put("servers", "text", Json::Value("bytes"));
    run([&]() -> task<void> { EXPECT_EQ(200U, co_await get_status("/read/")); });
}

TEST_F(following_test, paged_list_is_read_to_its_end) {
    configure({{"/read/"}});
    store.page_size = 1;
    auto& ready_server = add_backend("s3", "plain", answering("ok"));
    announce("s1", "plain", ready_server.address(), "draining");
    announce("s2", "plain", ready_server.address(), "draining");
    run([&]() -> task<void> { EXPECT_EQ(200U, co_await get_status("/read/")); });
}

TEST_F(following_test, objects_are_listed_again_after_the_watch_history_expired) {
    configure({{"/old/"}});
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        store.watch_history_expired = true;
        configure({{"/new/"}}, 2);
        co_await sleep_for(500ms);
        configure({{"/newer/"}}, 3);
        co_await sleep_for(500ms);
        EXPECT_EQ(200U, co_await get_status("/newer/"));
    });
}

TEST_F(following_test, router_keeps_serving_while_the_store_does_not_answer) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        store.silent = true;
        co_await sleep_for(1500ms);
        EXPECT_EQ(200U, co_await get_status("/read/"));
        EXPECT_EQ(200U, co_await readiness_status());
    });
}

TEST_F(following_test, router_calls_a_store_that_rejects_it_only_a_few_times_a_second) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    run([&]() -> task<void> {
        store.busy = true;
        co_await sleep_for(1500ms);
        store.calls = 0;
        co_await sleep_for(2s);
        constexpr int max_calls_per_second = 12; // Two watches and the ledger, each after its own delay.
        EXPECT_LE(store.calls, 2 * max_calls_per_second);
        store.busy = false;
        configure({{"/new/"}}, 2);
        co_await sleep_for(1500ms);
        EXPECT_EQ(200U, co_await get_status("/new/"));
    });
}

/// Starts a relay that can reach the store, for routers that cannot.
class relayed_store_test : public following_test {
protected:
    void start_relay() {
        relay_settings relay_config;
        relay_config.name = "relay";
        relay_config.listen = next_loopback_address();
        relay_config.store = store.address();
        relay_config.peers = {settings.peer_listen};
        ledger = std::make_unique<ledger_endpoint<platform::budget_store>>(context, relay_config.store,
                                                                           [](const char*, Json::Value) {});
        store_relay = std::make_unique<relay>(context, relay_config, log, metrics, ledger->handler());
        ASSERT_TRUE(store_relay->start().ok());
    }
    std::unique_ptr<ledger_endpoint<platform::budget_store>> ledger;
    std::unique_ptr<relay> store_relay;
};

TEST_F(relayed_store_test, router_that_cannot_reach_the_store_reads_it_through_a_relay) {
    configure({{"/read/"}});
    add_backend("s1", "plain", answering("ok"));
    // Nothing listens at this address, so the router cannot reach the store.
    settings.store = next_loopback_address();
    start_relay();
    run([&]() -> task<void> { EXPECT_EQ(200U, co_await get_status("/read/")); });
}

TEST_F(relayed_store_test, budgets_are_reserved_through_a_relay) {
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
        EXPECT_GE(taken_tokens(), 1006);
    });
}

} // namespace
} // namespace eelgrassgw

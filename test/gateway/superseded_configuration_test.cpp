/// Tests what a router tells callers while it knows that its configuration is not the newest one.

#include "gateway_fixture.h"

#include <boost/asio/ip/udp.hpp>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class superseded_configuration_test : public gateway_fixture {
protected:
    void SetUp() override {
        settings.notice_listen = next_loopback_address();
        configure({{"/old/"}});
        add_backend("s1", "plain", answering("ok"));
    }
    /// Has the store answer nothing about configurations from now on, also to the watch in progress.
    void hold_configurations_back() {
        store.unanswered_kind = "config";
        store.hanging_watches = true;
    }
    /// Tells the router, as another one does, which version is in force there.
    void tell_of_version(std::uint64_t version) {
        Json::Value notice;
        notice["kind"] = "configuration";
        notice["version"] = Json::UInt64(version);
        const tcp::endpoint to = parse_address(settings.notice_listen).value();
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        socket.send_to(asio::buffer(to_text(notice)), asio::ip::udp::endpoint(to.address(), to.port()));
    }
    /// Returns the answer to a request whose key is `key`.
    task<std::optional<text_reply>> get(std::string target, std::string key = "key-1") {
        std::string bytes = request("GET", target);
        bytes.replace(bytes.find("key-1"), 5, key);
        co_return co_await call(bytes);
    }
};

/// Guards against a 404 or a 401 by a version that the router knows to be old: the newest one may have the
/// route or the key.
TEST_F(superseded_configuration_test, unknown_routes_and_keys_are_refused_as_not_run) {
    run([&]() -> task<void> {
        hold_configurations_back();
        EXPECT_EQ(404U, (co_await get("/new/"))->result_int());
        EXPECT_EQ(401U, (co_await get("/old/", "key-9"))->result_int());
        tell_of_version(2);
        co_await sleep_for(100ms);
        const auto no_route = co_await get("/new/");
        EXPECT_EQ(503U, no_route->result_int());
        EXPECT_FALSE((*no_route)["Retry-After"].empty());
        EXPECT_EQ(503U, (co_await get("/old/", "key-9"))->result_int());
        EXPECT_EQ(200U, (co_await get("/old/"))->result_int());
    });
}

/// Guards against a router that goes on without end by a version that it knows to be old, with its removed
/// routes and revoked keys.
TEST_F(superseded_configuration_test, requests_are_refused_as_not_run_once_the_limit_has_passed) {
    settings.configuration_limit = 600ms;
    run([&]() -> task<void> {
        hold_configurations_back();
        tell_of_version(2);
        co_await sleep_for(100ms);
        EXPECT_EQ(200U, (co_await get("/old/"))->result_int());
        co_await sleep_for(600ms);
        EXPECT_EQ(503U, (co_await get("/old/"))->result_int());
    });
}

/// Guards against refusals that go on once the router has caught up.
TEST_F(superseded_configuration_test, newest_version_ends_the_refusals) {
    settings.configuration_limit = 300ms;
    run([&]() -> task<void> {
        tell_of_version(2);
        co_await sleep_for(50ms);
        EXPECT_EQ(503U, (co_await get("/none/"))->result_int());
        configure({{"/old/"}, {"/new/"}}, 2);
        co_await sleep_for(500ms);
        EXPECT_EQ(200U, (co_await get("/old/"))->result_int());
        EXPECT_EQ(200U, (co_await get("/new/"))->result_int());
        EXPECT_EQ(404U, (co_await get("/none/"))->result_int());
    });
}

/// Guards against a notice of a version that the store does not have, which would make a router refuse
/// requests for ever.
TEST_F(superseded_configuration_test, version_that_the_store_does_not_have_is_forgotten) {
    settings.configuration_limit = 300ms;
    run([&]() -> task<void> {
        tell_of_version(7);
        co_await sleep_for(50ms);
        EXPECT_EQ(503U, (co_await get("/none/"))->result_int());
        co_await sleep_for(4500ms);
        EXPECT_EQ(404U, (co_await get("/none/"))->result_int());
        EXPECT_EQ(200U, (co_await get("/old/"))->result_int());
    });
}

/// Guards against a router that serves nobody because it is cut off from the store and others are not.
TEST_F(superseded_configuration_test, router_that_reaches_the_store_on_no_path_goes_on) {
    settings.configuration_limit = 300ms;
    run([&]() -> task<void> {
        store.busy = true;
        co_await sleep_for(2600ms); // The watch in progress ends, and the next call fails.
        tell_of_version(2);
        co_await sleep_for(400ms);
        EXPECT_EQ(200U, (co_await get("/old/"))->result_int());
        EXPECT_EQ(503U, (co_await get("/new/"))->result_int());
    });
}

} // namespace
} // namespace eelgrassgw

/// Tests that a router keeps requests from evacuated data centres, from cold servers beyond their rate and
/// from servers outside the allowed regions.

#include "gateway_fixture.h"
#include "most_in_a_second.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

class places_test : public gateway_fixture {
protected:
    places_test() {
        settings.places.evacuation_limit = 5000ms;
        settings.places.regions = {{"dc", "north"}, {"dc-2", "south"}};
        settings.places.cold_overshoot = 1.5;
        settings.places.cold_slack = 5;
    }

    /// Starts a backend server in a data centre and adds its entry to the store.
    scripted_backend& add_backend_in(const std::string& data_centre, const std::string& id,
                                     scripted_backend::script_type script,
                                     std::chrono::milliseconds cold_time_left = 0ms) {
        auto& added = *backends.emplace_back(
            std::make_unique<scripted_backend>(context, next_loopback_address(), std::move(script)));
        Json::Value entry;
        entry["service"] = "plain";
        entry["address"] = added.address();
        entry["zone"] = data_centre;
        entry["slots"] = 8;
        entry["state"] = "ready";
        entry["sequence"] = 1;
        entry["coldRemainingMs"] = Json::Int64(cold_time_left.count());
        store.put("servers", id, entry);
        return added;
    }

    /// Changes the configuration in the store.
    void edit_configuration(const std::function<void(Json::Value&)>& edit) {
        Json::Value document = store.spec("config", "main");
        document["version"] = document["version"].asInt() + 1;
        edit(document);
        store.put("config", "main", document);
    }

    void evacuate(const std::string& data_centre) {
        store.put("evacuations", data_centre, Json::Value(Json::objectValue));
    }

    task<unsigned> get_status() { co_return (co_await call(request("GET", "/read/")))->result_int(); }

    /// Sends `n` requests one after another and expects that they are answered.
    task<void> expect_answers(int n) {
        for (int i = 0; i < n; ++i) {
            EXPECT_EQ(200U, co_await get_status());
        }
    }
};

TEST_F(places_test, evacuated_data_centre_gets_nothing_until_the_evacuation_ends) {
    configure({{"/read/"}});
    auto& kept = add_backend_in("dc", "s1", answering("ok"));
    auto& evacuated = add_backend_in("dc-2", "s2", answering("ok"));
    run([&]() -> task<void> {
        co_await expect_answers(20);
        EXPECT_FALSE(evacuated.arrived().empty());
        evacuate("dc-2");
        co_await sleep_for(*settings.places.evacuation_limit);
        const std::size_t before = evacuated.arrived().size();
        co_await expect_answers(20);
        EXPECT_EQ(before, evacuated.arrived().size());
        store.remove("evacuations", "dc-2");
        co_await sleep_for(*settings.places.evacuation_limit);
        co_await expect_answers(20);
        EXPECT_GT(evacuated.arrived().size(), before);
        EXPECT_FALSE(kept.arrived().empty());
    });
}

// A watch that gets no answer must not hide an evacuation: a router that waits for it would go on sending.
TEST_F(places_test, evacuation_is_in_force_within_its_limit_while_all_watches_hang) {
    configure({{"/read/"}});
    add_backend_in("dc", "s1", answering("ok"));
    auto& evacuated = add_backend_in("dc-2", "s2", answering("ok"));
    run([&]() -> task<void> {
        store.hanging_watches = true;
        co_await sleep_for(1s); // The watches that were in progress hang as well.
        evacuate("dc-2");
        co_await sleep_for(*settings.places.evacuation_limit);
        const std::size_t before = evacuated.arrived().size();
        co_await expect_answers(20);
        EXPECT_EQ(before, evacuated.arrived().size());
    });
}

TEST_F(places_test, callers_are_refused_at_once_if_all_servers_are_evacuated) {
    configure({{"/read/"}});
    auto& evacuated = add_backend_in("dc", "s1", answering("ok"));
    evacuate("dc");
    run([&]() -> task<void> {
        const auto started = clock::now();
        const auto answer = co_await call(request("GET", "/read/"));
        EXPECT_EQ(503U, answer->result_int());
        EXPECT_FALSE((*answer)[http::field::retry_after].empty());
        EXPECT_LT(clock::now() - started, 500ms);
        EXPECT_TRUE(evacuated.arrived().empty());
    });
}

// The list of servers may be known before that of the evacuations.
TEST_F(places_test, starting_router_sends_nothing_before_it_has_listed_the_evacuations) {
    configure({{"/read/"}});
    auto& evacuated = add_backend_in("dc", "s1", answering("ok"));
    auto& kept = add_backend_in("dc-2", "s2", answering("ok"));
    evacuate("dc");
    store.unanswered_kind = "evacuations";
    router = std::make_unique<gateway_type>(context, settings, log, metrics);
    ASSERT_TRUE(router->start().ok());
    run_task(context, [&]() -> task<void> {
        co_await sleep_for(300ms);
        EXPECT_EQ(503U, co_await readiness_status());
        EXPECT_EQ(503U, co_await get_status());
        EXPECT_TRUE(kept.arrived().empty());
        store.unanswered_kind = "";
        co_await wait_until_ready();
        co_await expect_answers(20);
        EXPECT_TRUE(evacuated.arrived().empty());
    });
}

// The store may fail between the lists of the servers and of the evacuations.
TEST_F(places_test, starting_router_adopts_the_evacuations_of_a_peer_if_the_store_does_not_answer) {
    configure({{"/read/"}});
    auto& evacuated = add_backend_in("dc", "s1", answering("ok"));
    add_backend_in("dc-2", "s2", answering("ok"));
    store.unanswered_kind = "evacuations";
    const std::string peer = next_loopback_address();
    settings.peers = {peer};
    ASSERT_TRUE(http_service::start(context, peer, [](text_request) -> task<text_reply> {
                    co_return make_reply(http::status::ok, "application/json", "[\"dc\"]");
                }).ok());
    router = std::make_unique<gateway_type>(context, settings, log, metrics);
    ASSERT_TRUE(router->start().ok());
    run_task(context, [&]() -> task<void> {
        co_await sleep_for(300ms);
        store.silent = true;
        co_await wait_until_ready();
        co_await expect_answers(20);
        EXPECT_TRUE(evacuated.arrived().empty());
    });
}

} // namespace
} // namespace eelgrassgw

#pragma once

/// Test fixture that runs several routers in the test process.

#include "gateway_fixture.h"

namespace eelgrassgw {

/// Runs routers that share the store and exchange notices.
class router_fleet : public gateway_fixture {
protected:
    /// Time after which routers that start together know one another from the ledger.
    static constexpr std::chrono::milliseconds introduction_time{6000};

    /// Starts routers and waits until they know one another.
    task<void> start_routers(int count) {
        for (int i = 0; i < count; ++i) {
            start_router();
        }
        co_await sleep_for(introduction_time);
    }

    /// Starts one more router.
    void start_router() {
        gateway_settings own = settings;
        own.name = "router-" + std::to_string(routers.size());
        own.listen = next_loopback_address();
        own.readiness_listen = next_loopback_address();
        own.peer_listen = next_loopback_address();
        own.notice_listen = next_loopback_address();
        router_addresses.push_back(own.listen);
        routers.push_back(std::make_unique<gateway_type>(context, own, log, metrics));
        EXPECT_TRUE(routers.back()->start().ok());
    }

    /// Sends one request to the router with this index. Returns the status of the answer; 0 if there is none.
    task<unsigned> call_router(std::size_t index, std::string bytes) {
        raw_caller caller(context);
        co_await caller.connect(router_addresses[index]);
        co_await caller.send(std::move(bytes));
        const auto answer = co_await caller.read_answer();
        co_return answer ? answer->result_int() : 0;
    }

    std::vector<std::unique_ptr<gateway_type>> routers;
    std::vector<std::string> router_addresses; ///< Addresses at which the routers accept callers.
};

} // namespace eelgrassgw

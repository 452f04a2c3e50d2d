/// Tests that routers share their evidence about prompt parts by notices and through the store.

#include "quarantine/quarantine_sync.h"

#include "loopback.h"
#include "platform/adapter.h"
#include "platform_store_stand_in.h"
#include "task_runner.h"

#include <gtest/gtest.h>

#include <memory>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

const std::vector<std::string> deadly_request{"first", "deadly"};

/// The parts of a router that share evidence.
class sharing_router {
public:
    sharing_router(asio::io_context& context, const std::string& store)
        : address_(next_loopback_address()), channel_(context), pool_(context),
          paths_(pool_, store, ignore_event), objects_(paths_),
          sync_(objects_, "eelgrass-quarantine", "all", quarantine_, channel_, ignore_event) {
        EXPECT_TRUE(channel_.start(address_).ok());
        asio::co_spawn(context, sync_.send_notices(address_), asio::detached);
        asio::co_spawn(context, sync_.update_store(), asio::detached);
        follower_callbacks callbacks;
        callbacks.log = ignore_event;
        asio::co_spawn(context,
                       object_follower<platform::object_store>::follow(objects_, "eelgrass-quarantine",
                                                                       sync_.follow_with(callbacks)),
                       asio::detached);
    }

    const std::string& address() const { return address_; }
    void send_notices_to(const sharing_router& other) { channel_.set_peers({other.address()}); }
    void note_crash(const std::string& server) {
        quarantine_.note_crash(server, {{deadly_request, true}}, clock_reading::now());
    }
    bool rejects_deadly_request() const {
        return quarantine_.find_quarantined(deadly_request, clock_reading::now()).has_value();
    }

private:
    static void ignore_event(const char*, const Json::Value&) {}

    std::string address_;
    notice_channel channel_;
    part_quarantine quarantine_{[](const auto&, const auto&, bool) {
    }};
    connection_pool pool_;
    store_paths paths_;
    platform::object_store objects_;
    quarantine_sync<platform::object_store> sync_;
};

class quarantine_sync_test : public ::testing::Test {
protected:
    /// Time within which a router must know what the others know.
    static constexpr std::chrono::milliseconds contact_time{3000};

    /// Has the first router see three crashes, and waits until the second one had time to hear of them.
    task<void> crash_three_servers() {
        for (const char* server : {"s1", "s2", "s3"}) {
            first.note_crash(server);
            co_await sleep_for(150ms);
        }
        co_await sleep_for(contact_time);
    }

    asio::io_context context;
    platform_store_stand_in store{context, next_loopback_address()};
    sharing_router first{context, store.address()};
    sharing_router second{context, store.address()};
};

TEST_F(quarantine_sync_test, evidence_reaches_another_router_by_notices_while_the_store_is_silent) {
    store.silent = true;
    first.send_notices_to(second);
    run_task(context, [&]() -> task<void> {
        co_await crash_three_servers();
        EXPECT_TRUE(second.rejects_deadly_request());
    });
}

TEST_F(quarantine_sync_test, router_that_starts_later_asks_the_others_while_the_store_is_silent) {
    store.silent = true;
    run_task(context, [&]() -> task<void> {
        co_await crash_three_servers();
        EXPECT_FALSE(second.rejects_deadly_request());
        second.send_notices_to(first);
        co_await sleep_for(1s);
        EXPECT_TRUE(second.rejects_deadly_request());
    });
}

TEST_F(quarantine_sync_test, notices_do_not_wait_for_a_store_that_gives_no_answer) {
    store.silent = true;
    first.send_notices_to(second);
    run_task(context, [&]() -> task<void> {
        first.note_crash("s1");
        co_await sleep_for(2s); // By then the first router waits for the answer to a write, or to try again.
        first.note_crash("s2");
        co_await sleep_for(150ms);
        first.note_crash("s3");
        co_await sleep_for(1500ms);
        EXPECT_TRUE(second.rejects_deadly_request());
    });
}

TEST_F(quarantine_sync_test, evidence_reaches_another_router_through_the_store_without_notices) {
    run_task(context, [&]() -> task<void> {
        co_await crash_three_servers();
        EXPECT_TRUE(second.rejects_deadly_request());
    });
}

TEST_F(quarantine_sync_test, evidence_is_written_once_the_store_is_back) {
    store.busy = true;
    run_task(context, [&]() -> task<void> {
        co_await crash_three_servers();
        EXPECT_FALSE(second.rejects_deadly_request());
        store.busy = false;
        co_await sleep_for(4s);
        EXPECT_TRUE(second.rejects_deadly_request());
    });
}

TEST_F(quarantine_sync_test, evidence_that_a_restored_store_lacks_is_written_again) {
    run_task(context, [&]() -> task<void> {
        store.take_copy();
        co_await crash_three_servers();
        store.restore_copy();
        EXPECT_TRUE(store.spec("eelgrass-quarantine", "all").isNull());
        co_await sleep_for(2s);
        EXPECT_TRUE(store.spec("eelgrass-quarantine", "all").isMember("deadly"));
        EXPECT_TRUE(second.rejects_deadly_request());
    });
}

TEST_F(quarantine_sync_test, operator_ends_all_quarantines_by_deleting_the_evidence) {
    run_task(context, [&]() -> task<void> {
        co_await crash_three_servers();
        store.remove("eelgrass-quarantine", "all");
        co_await sleep_for(1s);
        EXPECT_FALSE(first.rejects_deadly_request());
        EXPECT_FALSE(second.rejects_deadly_request());
    });
}

} // namespace
} // namespace eelgrassgw

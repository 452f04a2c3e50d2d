/// Tests the notices about limits between routers.

#include "limits/limit_notices.h"

#include "eelgrassgw/base/json.h"
#include "loopback.h"
#include "task_runner.h"

#include <gtest/gtest.h>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

/// The parts of a router that exchange notices about limits.
class limited_router {
public:
    explicit limited_router(asio::io_context& context)
        : address(next_loopback_address()), channel_(context), notices(channel_, directory_, address) {
        EXPECT_TRUE(channel_.start(address).ok());
        backend_server server;
        server.id = "s1";
        server.started_ms = 1000;
        directory_.put({server, {1, 1}});
    }

    void send_notices_to(const limited_router& other) { channel_.set_peers({other.address}); }
    tracked_backend& server() { return *directory_.find("s1"); }
    const request_limit& limit() { return server().limit; }

    const std::string address;

private:
    notice_channel channel_;
    backend_directory directory_;

public:
    limit_notices notices;
};

class limit_notices_test : public ::testing::Test {
protected:
    void let_notices_arrive() {
        run_task(context, []() -> task<void> { co_await sleep_for(30ms); });
    }

    asio::io_context context;
    limited_router first{context};
    limited_router second{context};
};

TEST_F(limit_notices_test, limit_and_its_end_are_told_at_once) {
    first.send_notices_to(second);
    EXPECT_TRUE(first.notices.note_answer(first.server(), 2.5));
    let_notices_arrive();
    EXPECT_EQ(2.5, second.limit().rate());
    EXPECT_EQ(1U, second.notices.limited_server_count());
    EXPECT_TRUE(first.notices.note_answer(first.server(), std::nullopt));
    let_notices_arrive();
    EXPECT_FALSE(second.limit().is_in_force());
}

TEST_F(limit_notices_test, router_that_missed_a_notice_learns_of_it_by_asking) {
    first.notices.note_answer(first.server(), 2.5);
    second.send_notices_to(first);
    second.notices.note_answer(second.server(), 1);
    let_notices_arrive();
    first.notices.note_answer(first.server(), std::nullopt);
    let_notices_arrive();
    EXPECT_TRUE(second.limit().is_in_force());
    second.notices.ask_routers();
    let_notices_arrive();
    EXPECT_FALSE(second.limit().is_in_force());
}

TEST_F(limit_notices_test, router_that_tells_of_an_ended_limit_is_told_of_its_end) {
    second.notices.note_answer(second.server(), 2.5);
    let_notices_arrive();
    first.notices.note_answer(first.server(), 2.5);
    first.notices.note_answer(first.server(), std::nullopt);
    second.send_notices_to(first);
    second.notices.note_request(second.server());
    let_notices_arrive();
    EXPECT_FALSE(first.limit().is_in_force());
    EXPECT_FALSE(second.limit().is_in_force());
}

TEST_F(limit_notices_test, router_that_reaches_no_other_counts_on_a_part_of_the_limit) {
    asio::io_context context_that_does_not_run;
    const limited_router silent(context_that_does_not_run);
    second.send_notices_to(silent);
    second.notices.note_answer(second.server(), 4);
    run_task(context, [&]() -> task<void> {
        second.notices.ask_routers();
        co_await sleep_for(reach_estimate::answer_time + 50ms);
        second.notices.ask_routers();
    });
    const auto now = limit_notices::clock::now() + 1h; // By then the allowance has grown as far as it may.
    EXPECT_EQ(4 * share_of_limit(0, 2), second.limit().view(now).available);
}

TEST_F(limit_notices_test, notice_about_another_run_of_the_server_says_nothing) {
    const auto handled =
        first.notices.handle_notice(parse_json(R"({"kind":"server_limits","from":"127.0.0.1:9","limits":[
                       {"server":"s1","started_ms":999,"rate":1,"available":0,"age_ms":0}]})")
                                        .value());
    EXPECT_TRUE(handled.ok());
    EXPECT_FALSE(first.limit().is_in_force());
}

TEST_F(limit_notices_test, malformed_notice_is_rejected) {
    for (const char* text : {R"({})", R"({"from":"127.0.0.1:9"})", R"({"from":5,"limits":[]})",
                             R"({"from":"127.0.0.1:9","limits":{"server":"s1"}})"}) {
        EXPECT_FALSE(first.notices.handle_notice(parse_json(text).value()).ok()) << text;
    }
}

TEST_F(limit_notices_test, malformed_limit_costs_that_limit_only) {
    const std::string sound = R"({"server":"s1","started_ms":1000,"rate":3,"available":0,"age_ms":0})";
    for (const char* odd :
         {"7", "[]", "{}", R"({"server":"s1","started_ms":1000,"rate":-1,"available":0,"age_ms":0})",
          R"({"server":"s1","started_ms":1000,"rate":"2","available":0,"age_ms":0})",
          R"({"server":"s1","started_ms":1000,"rate":1e300,"available":0,"age_ms":0})",
          R"({"server":"s1","started_ms":1000,"rate":2,"age_ms":0})",
          R"({"server":"s1","started_ms":1000,"rate":2,"available":0,"age_ms":-5})",
          R"({"server":"s1","started_ms":1000,"rate":2,"available":0,"age_ms":9e18})",
          R"({"server":"s1","started_ms":1000,"rate":2,"available":0,"age_ms":0,"taken":-4})"}) {
        limited_router router(context);
        const auto handled = router.notices.handle_notice(
            parse_json(R"({"from":"127.0.0.1:9","limits":[)" + std::string(odd) + "," + sound + "]}")
                .value());
        EXPECT_TRUE(handled.ok()) << odd;
        EXPECT_EQ(3.0, router.limit().rate()) << odd;
    }
}

} // namespace
} // namespace eelgrassgw

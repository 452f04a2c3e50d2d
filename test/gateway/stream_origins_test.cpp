/// Tests the memory of where streams began: at relays, over lost notices, and while relays come and go.

#include "loopback.h"
#include "streams/origin_keeper.h"
#include "streams/stream_origins.h"
#include "task_runner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = origin_memory::clock;

TEST(origin_memory_test, origin_stays_what_it_was_first) {
    origin_memory memory;
    const auto now = clock::now();
    memory.put("a", {"llm", "v1"}, now);
    memory.put("a", {"llm", "v2"}, now + 1s);
    ASSERT_TRUE(memory.find("a", now + 2s).has_value());
    EXPECT_EQ("v1", memory.find("a", now + 2s)->origin.version);
    EXPECT_EQ(1000ms, memory.find("a", now + 2s)->age);
    EXPECT_FALSE(memory.find("b", now).has_value());
}

TEST(origin_memory_test, origins_are_forgotten_after_their_retention) {
    origin_memory memory;
    const auto now = clock::now();
    memory.put("a", {"llm", "v1"}, now);
    memory.put("b", {"llm", "v1"}, now);
    memory.put("b", {"llm", "v1"}, now + 40s);
    memory.put("c", {"llm", "v1"}, now + 61s);
    EXPECT_FALSE(memory.find("a", now + 61s).has_value());
    EXPECT_TRUE(memory.find("b", now + 61s).has_value());
    EXPECT_EQ(2U, memory.size());
}

TEST(origin_memory_test, number_of_streams_is_bounded) {
    origin_memory memory;
    const auto now = clock::now();
    for (std::size_t i = 0; i < origin_memory::max_streams + 1000; ++i) {
        memory.put(std::to_string(i), {"llm", "v1"}, now);
    }
    EXPECT_EQ(origin_memory::max_streams, memory.size());
    EXPECT_FALSE(memory.find("0", now).has_value());
}

TEST(origin_notice_test, notices_are_read_as_they_were_written) {
    const auto record = parse_origin_record(to_json(origin_record{"s", {"llm", "v1"}, 5ms}));
    ASSERT_TRUE(record.ok());
    EXPECT_EQ((stream_origin{"llm", "v1"}), record.value().origin);
    const auto answer = parse_origin_answer(to_json(origin_answer{7, "1.2.3.4:5", record.value()}));
    ASSERT_TRUE(answer.ok());
    EXPECT_EQ(7U, answer.value().number);
    EXPECT_EQ("s", answer.value().record->stream);
    const auto unknown = parse_origin_answer(to_json(origin_answer{7, "1.2.3.4:5", std::nullopt}));
    ASSERT_TRUE(unknown.ok());
    EXPECT_FALSE(unknown.value().record.has_value());
}

TEST(origin_notice_test, odd_notices_are_rejected) {
    Json::Value notice = to_json(origin_record{"s", {"llm", "v1"}, 5ms});
    for (const char* field : {"stream", "service", "version", "age_ms"}) {
        for (const Json::Value& odd : {Json::Value(), Json::Value(-1), Json::Value(std::string(300, 'x')),
                                       Json::Value(Json::objectValue)}) {
            Json::Value changed = notice;
            changed[field] = odd;
            EXPECT_FALSE(parse_origin_record(changed).ok()) << to_text(changed).substr(0, 100);
        }
    }
    EXPECT_FALSE(parse_origin_question(Json::Value("text")).ok());
    EXPECT_FALSE(parse_origin_answer(Json::Value(Json::objectValue)).ok());
}

/// A router as far as streams are concerned.
struct origins_router {
    origins_router(asio::io_context& context, const std::string& address)
        : channel(context), origins(context, channel, address) {
        EXPECT_TRUE(channel.start(address).ok());
    }
    notice_channel channel;
    stream_origins origins;
};

class stream_origins_test : public ::testing::Test {
protected:
    std::string add_relay() {
        relays.push_back(std::make_unique<origin_keeper>(context, metrics));
        const std::string address = next_loopback_address();
        EXPECT_TRUE(relays.back()->start(address).ok());
        return address;
    }
    std::vector<std::string> add_relays(std::size_t n) {
        std::vector<std::string> addresses(n);
        std::generate(addresses.begin(), addresses.end(), [this] { return add_relay(); });
        return addresses;
    }
    std::unique_ptr<origins_router> add_router(const std::vector<std::string>& staying,
                                               const std::vector<std::string>& leaving = {}) {
        auto router = std::make_unique<origins_router>(context, next_loopback_address());
        router->origins.set_relays(staying, leaving);
        return router;
    }
    /// Returns how many of the streams another router finds.
    task<int> count_found(stream_origins& origins, int streams) {
        int found = 0;
        for (int i = 0; i < streams; ++i) {
            const origin_lookup lookup = co_await origins.find("stream-" + std::to_string(i));
            found += lookup.record && lookup.record->origin == stream_origin{"llm", "v1"} ? 1 : 0;
        }
        co_return found;
    }
    static void begin_streams(stream_origins& origins, int streams) {
        for (int i = 0; i < streams; ++i) {
            origins.note_event("stream-" + std::to_string(i), {"llm", "v1"});
        }
    }

    asio::io_context context;
    metrics_registry metrics;
    std::vector<std::unique_ptr<origin_keeper>> relays;
};

TEST_F(stream_origins_test, another_router_finds_what_one_has_told) {
    const auto addresses = add_relays(12);
    const auto first = add_router(addresses);
    const auto second = add_router(addresses);
    run_task(context, [&]() -> task<void> {
        begin_streams(first->origins, 50);
        co_await sleep_for(50ms);
        EXPECT_EQ(50, co_await count_found(second->origins, 50));
        const origin_lookup own = co_await first->origins.find("stream-1");
        EXPECT_EQ("this router", own.source);
    });
}

TEST_F(stream_origins_test, unknown_stream_is_known_to_be_so_at_once) {
    const auto router = add_router(add_relays(12));
    run_task(context, [&]() -> task<void> {
        for (const std::string& stream : {std::string("other"), std::string(), std::string(5000, 'x')}) {
            const auto begun_at = clock::now();
            const origin_lookup lookup = co_await router->origins.find(stream);
            EXPECT_FALSE(lookup.record.has_value());
            EXPECT_EQ(0U, lookup.silent);
            EXPECT_LT(clock::now() - begun_at, stream_origins::repeat_time);
        }
    });
}

/// Guards against take-ups that wait for relays that are gone.
TEST_F(stream_origins_test, silent_relays_cost_a_bounded_time) {
    auto addresses = add_relays(2);
    for (int i = 0; i < 10; ++i) {
        addresses.push_back(next_loopback_address()); // Nobody listens there.
    }
    const auto router = add_router(addresses);
    run_task(context, [&]() -> task<void> {
        const auto begun_at = clock::now();
        const origin_lookup lookup = co_await router->origins.find("other");
        EXPECT_FALSE(lookup.record.has_value());
        EXPECT_LT(clock::now() - begun_at, stream_origins::answer_timeout + 100ms);
    });
}

/// Guards against a memory that leaves with the relays beside the old version's servers.
TEST_F(stream_origins_test, streams_are_still_known_after_all_relays_were_replaced) {
    const auto old_relays = add_relays(12);
    const auto first = add_router(old_relays);
    const auto new_relays = add_relays(12);
    run_task(context, [&]() -> task<void> {
        begin_streams(first->origins, 50);
        first->origins.set_relays(new_relays, old_relays);
        co_await sleep_for(50ms);
        relays.erase(relays.begin(), relays.begin() + 12);
        const auto second = add_router(new_relays);
        EXPECT_EQ(50, co_await count_found(second->origins, 50));
    });
}

/// Guards against lost take-ups if a router that starts sees the relays in another order than those before.
TEST_F(stream_origins_test, streams_are_found_while_half_of_the_relays_are_new) {
    auto addresses = add_relays(12);
    const auto first = add_router(addresses);
    run_task(context, [&]() -> task<void> {
        begin_streams(first->origins, 100);
        co_await sleep_for(50ms);
        const auto added = add_relays(6);
        addresses.insert(addresses.end(), added.begin(), added.end());
        const auto second = add_router(addresses);
        EXPECT_GE(co_await count_found(second->origins, 100), 90);
    });
}

} // namespace
} // namespace eelgrassgw

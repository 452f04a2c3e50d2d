/// Tests what a router does with callers' requests while its processor time is short.

#include "gateway_fixture.h"
#include "overload/deferred_queue.h"

#include <boost/asio/post.hpp>

#include <functional>
#include <string>
#include <thread>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

class overload_test : public gateway_fixture {
protected:
    static constexpr int event_count = 40;

    void SetUp() override {
        configure({{"/read/"}, {"/ask/", "streaming", "models", 2, 3000, true, false}});
        add_backend("s1", "plain", answering("ok"));
        add_backend("s2", "models", [](backend_exchange& e) -> task<void> {
            co_await e.start_stream();
            for (int i = 1; i <= event_count; ++i) {
                co_await e.piece(event(i));
                co_await sleep_for(5ms);
            }
            co_await e.end();
        });
    }
    /// Makes the router find its processor time short: any work exceeds this share.
    void make_processor_short() {
        settings.resources.processor_share = 0.0001;
        settings.event_delay_limit = 200ms;
    }
    /// Waits until the router has measured its load often enough.
    static task<void> wait_for_measurements() { co_await sleep_for(1700ms); }

    static std::string event(int i) {
        return "id: " + std::to_string(i) + "\ndata: e" + std::to_string(i) + "\n\n";
    }
    /// Calls the stream and returns all bytes of the answer.
    task<std::string> stream_bytes() {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("POST", "/ask/",
                                     "Connection: close\r\nToken-Counts: 10,60\r\nPrompt-Prefix: aa:5\r\n",
                                     "prompt"));
        co_return co_await caller.read_to_end();
    }
    /// Returns the number of chunks that carry events.
    static int count_chunks(const std::string& bytes) {
        int chunks = 0;
        for (std::size_t at = bytes.find("\r\nid: "); at != std::string::npos;
             at = bytes.find("\r\nid: ", at + 1)) {
            ++chunks;
        }
        return chunks;
    }
    static bool has_all_events(const std::string& bytes) {
        std::size_t at = 0;
        for (int i = 1; i <= event_count && at != std::string::npos; ++i) {
            at = bytes.find(event(i), at);
        }
        return at != std::string::npos && bytes.ends_with("0\r\n\r\n");
    }
};

/// Guards against one read and one write for each event, and against events that are lost or reordered.
TEST_F(overload_test, events_are_coalesced_while_the_processor_is_short) {
    make_processor_short();
    run([&]() -> task<void> {
        co_await wait_for_measurements();
        const std::string bytes = co_await stream_bytes();
        EXPECT_TRUE(has_all_events(bytes)) << bytes;
        EXPECT_LE(count_chunks(bytes), event_count / 2) << bytes;
        EXPECT_NE(std::string::npos, bytes.find("\r\n" + event(1) + "\r\n")) << "the first event waited";
    });
}

/// Guards against added delay where the settings state no resources.
TEST_F(overload_test, events_are_not_coalesced_without_stated_resources) {
    run([&]() -> task<void> {
        co_await wait_for_measurements();
        const std::string bytes = co_await stream_bytes();
        EXPECT_TRUE(has_all_events(bytes)) << bytes;
        EXPECT_GT(count_chunks(bytes), event_count / 2);
    });
}

/// Guards against requests that wait in the event loop until their callers have given up.
TEST_F(overload_test, request_that_would_wait_too_long_is_refused_at_once) {
    make_processor_short();
    run([&]() -> task<void> {
        co_await wait_for_measurements();
        EXPECT_EQ(200U, (co_await call(request("GET", "/read/")))->result_int());
        const deferred_executor callers(context);
        const auto end = std::chrono::steady_clock::now() + 3s;
        std::function<void()> work = [&] {
            std::this_thread::sleep_for(1ms);
            if (std::chrono::steady_clock::now() < end) {
                asio::post(callers, work);
            }
        };
        for (int i = 0; i < 300; ++i) {
            asio::post(callers, work);
        }
        const auto answer = co_await call(request("GET", "/read/"));
        EXPECT_EQ(503U, answer->result_int());
        EXPECT_FALSE((*answer)[http::field::retry_after].empty());
        EXPECT_NE(std::string::npos, answer->body().find("router_full"));
        co_await sleep_for(end - std::chrono::steady_clock::now() + 500ms);
        EXPECT_EQ(200U, (co_await call(request("GET", "/read/")))->result_int());
        EXPECT_NE(std::string::npos, metrics.text().find("eelgrassgw_processor_use"));
        EXPECT_NE(std::string::npos, metrics.text().find("eelgrassgw_event_loop_delay_ms"));
    });
}

} // namespace
} // namespace eelgrassgw

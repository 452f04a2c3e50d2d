/// Tests that the error of a server which was asked to resume a stream never reaches the stream's caller.

#include "event_stream.h"
#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

const std::string error_text = "data: the server failed\n\n";

/// An answer of the server that is asked to resume a stream.
struct error_answer {
    const char* name;
    std::string status;
    std::string fields; ///< Fields beside those that frame the body.
    enum class framing { length, chunked, connection_end } how = framing::length;
};

task<void> send_error(backend_exchange& e, error_answer error) {
    const std::string head =
        "HTTP/1.1 " + error.status + "\r\nAttempt-Id: " + e.header("Attempt-Id") + "\r\n" + error.fields;
    switch (error.how) {
    case error_answer::framing::length:
        co_await e.write(head + "Content-Length: " + std::to_string(error_text.size()) + "\r\n\r\n" +
                         error_text);
        break;
    case error_answer::framing::chunked:
        co_await e.write(head + "Transfer-Encoding: chunked\r\n\r\n");
        co_await e.piece(error_text);
        co_await e.end();
        break;
    case error_answer::framing::connection_end:
        co_await e.write(head + "\r\n" + error_text);
        e.break_off(false);
        break;
    }
}

class error_after_break_test : public gateway_fixture, public ::testing::WithParamInterface<error_answer> {
protected:
    /// Adds servers of which the first one asked breaks its stream off, and all others send the error.
    void add_servers(int max_servers) {
        configure({{"/ask/", "streaming", "models", max_servers, 600, true, true}});
        const auto breaking_off = [](backend_exchange& e) -> task<void> {
            co_await e.start_stream();
            co_await e.piece(events(1, 2) + half_event(3));
            co_await sleep_for(30ms);
            e.break_off(false);
        };
        const auto failing = [](backend_exchange& e) -> task<void> {
            co_await send_error(e, GetParam());
        };
        const script_sequence script({breaking_off, failing});
        for (const char* id : {"s1", "s2", "s3"}) {
            add_backend(id, "models", script);
        }
    }

    task<void> expect_broken_stream() {
        raw_caller caller(context);
        co_await caller.connect(settings.listen);
        co_await caller.send(request("POST", "/ask/", prompt_headers, "p"));
        const std::string bytes = co_await caller.read_to_end(900ms);
        EXPECT_NE(std::string::npos, bytes.find(event(2))) << bytes;
        EXPECT_EQ(std::string::npos, bytes.find("failed")) << bytes;
        EXPECT_EQ(std::string::npos, bytes.find("HTTP/1.1", 1)) << bytes;
        EXPECT_EQ(std::string::npos, bytes.find(half_event(3))) << bytes;
        EXPECT_FALSE(bytes.ends_with("0\r\n\r\n")) << bytes;
    }
};

TEST_P(error_after_break_test, caller_sees_a_broken_stream) {
    add_servers(2);
    run([&]() -> task<void> { co_await expect_broken_stream(); });
}

TEST_P(error_after_break_test, caller_sees_a_broken_stream_after_two_errors) {
    add_servers(3);
    run([&]() -> task<void> { co_await expect_broken_stream(); });
}

INSTANTIATE_TEST_SUITE_P(
    kinds, error_after_break_test,
    ::testing::Values(error_answer{"failure", "500 Failed", "Response-Seal: seal\r\n"},
                      error_answer{"chunked_failure", "500 Failed", "Response-Seal: seal\r\n",
                                   error_answer::framing::chunked},
                      error_answer{"unframed_failure", "500 Failed", "Response-Seal: seal\r\n",
                                   error_answer::framing::connection_end},
                      error_answer{"failure_of_an_event_stream", "500 Failed",
                                   "Content-Type: text/event-stream\r\n", error_answer::framing::chunked},
                      error_answer{"timeout", "504 Timeout", "Response-Seal: seal\r\n"},
                      error_answer{"declined", "503 Busy", "Not-Executed: 1\r\n"},
                      error_answer{"declined_chunked", "429 Busy", "Not-Executed: 1\r\n",
                                   error_answer::framing::chunked},
                      error_answer{"wrong_server", "421 Misdirected", "Instance-Id: other\r\n"},
                      error_answer{"not_found", "404 Not Found", ""},
                      error_answer{"redirect", "302 Found", "Location: /elsewhere\r\n"},
                      error_answer{"success_without_a_seal", "200 OK", "Content-Type: text/event-stream\r\n"},
                      error_answer{"success_that_is_no_stream", "200 OK",
                                   "Response-Seal: seal\r\nContent-Type: application/json\r\n"},
                      error_answer{"unframed_success_that_is_no_stream", "200 OK",
                                   "Response-Seal: seal\r\nContent-Type: text/plain\r\n",
                                   error_answer::framing::connection_end}),
    [](const auto& info) { return std::string(info.param.name); });

} // namespace
} // namespace eelgrassgw

/// Tests that an answer whose head is cut off never looks complete to a caller.

#include "gateway_fixture.h"

namespace eelgrassgw {
namespace {

/// Where a server stops in the head of its answer, and how its connection ends.
struct head_cut {
    const char* name;
    std::string sent;
    bool resets = false;
};

const std::string status_line = "HTTP/1.1 200 OK\r\n";
const std::string signature = "Attempt-Id: %id\r\nResponse-Seal: seal\r\n";

const head_cut cuts[] = {
    {"nothing", ""},
    {"in_the_status_line", "HTTP/1.1 20"},
    {"after_the_status_line", status_line},
    {"in_a_field_name", status_line + signature + "Content-Le"},
    {"in_a_length", status_line + signature + "Content-Length: 1"},
    {"after_a_length", status_line + signature + "Content-Length: 0\r\n"},
    {"after_all_fields", status_line + signature + "Content-Type: text/event-stream\r\n"},
    {"in_the_last_line_end", status_line + signature + "Content-Length: 2\r\n\r"},
    {"reset_after_a_length", status_line + signature + "Content-Length: 0\r\n", true},
    {"reset_after_all_fields", status_line + signature, true},
};

class cut_head_test : public gateway_fixture, public ::testing::WithParamInterface<head_cut> {
protected:
    void SetUp() override {
        configure({{"/read/", "idempotent", "plain", 2, 3000},
                   {"/book/", "non_idempotent", "plain", 2, 3000},
                   {"/ask/", "streaming", "plain", 1, 3000, true, false}},
                  1, 1000000);
    }

    /// Adds a server that stops in the head of each answer.
    void add_cutting_backend(const std::string& id) {
        add_backend(id, "plain", [](backend_exchange& e) -> task<void> {
            std::string sent = GetParam().sent;
            const std::size_t mark = sent.find("%id");
            if (mark != std::string::npos) {
                sent.replace(mark, 3, e.header("Attempt-Id"));
            }
            co_await e.write(sent);
            co_await sleep_for(std::chrono::milliseconds(20)); // The router reads what was sent.
            e.break_off(GetParam().resets);
        });
    }
};

TEST_P(cut_head_test, caller_gets_a_failure_and_no_part_of_the_head) {
    add_cutting_backend("s1");
    run([&]() -> task<void> {
        const std::string prompt = "Model: m\r\nToken-Counts: 100,12\r\nPrompt-Prefix: a:40,b:20\r\n";
        for (const std::string& bytes :
             {request("GET", "/read/1"), request("POST", "/book/1", "", "body"),
              request("POST", "/ask/1", prompt, "body"), request("HEAD", "/read/1")}) {
            const bool head_only = bytes.starts_with("HEAD");
            raw_caller caller(context);
            co_await caller.connect(settings.listen);
            co_await caller.send(bytes);
            const std::string answer = co_await caller.read_to_end(std::chrono::milliseconds(400));
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 502")) << answer;
            EXPECT_EQ(std::string::npos, answer.find("Response-Seal")) << answer;
            EXPECT_TRUE(head_only || answer.find("backend_failed") != std::string::npos) << answer;
        }
    });
}

TEST_P(cut_head_test, request_that_may_run_again_is_answered_by_another_server) {
    add_cutting_backend("s1");
    add_backend("s2", "plain", answering("whole"));
    run([&]() -> task<void> {
        for (int i = 0; i < 4; ++i) {
            const auto answer = co_await call(request("GET", "/read/1"));
            EXPECT_EQ("whole", answer ? answer->body() : "no answer");
        }
    });
}

INSTANTIATE_TEST_SUITE_P(cuts, cut_head_test, ::testing::ValuesIn(cuts),
                         [](const auto& tested) { return std::string(tested.param.name); });

} // namespace
} // namespace eelgrassgw

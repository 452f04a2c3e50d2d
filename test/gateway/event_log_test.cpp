/// Tests that writing a log line never blocks.

#include "base/event_log.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <array>

namespace eelgrassgw {
namespace {

class event_log_test : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_EQ(0, pipe(pipe_ends_.data())); }
    void TearDown() override {
        close(pipe_ends_[0]);
        close(pipe_ends_[1]);
    }
    int write_end() const { return pipe_ends_[1]; }

    std::string read_all() {
        std::string text;
        std::array<char, 65536> buf{};
        const ssize_t n = read(pipe_ends_[0], buf.data(), buf.size());
        return n > 0 ? std::string(buf.data(), std::size_t(n)) : text;
    }

private:
    std::array<int, 2> pipe_ends_{};
};

TEST_F(event_log_test, line_contains_process_event_and_time) {
    event_log log(write_end(), "router-1");
    Json::Value fields;
    fields["request"] = "r";
    log.write("refused", fields);
    log.flush();
    const auto line = parse_json(read_all());
    ASSERT_TRUE(line.ok());
    EXPECT_EQ("router-1", string_member(line.value(), "process"));
    EXPECT_EQ("refused", string_member(line.value(), "event"));
    EXPECT_EQ("r", string_member(line.value(), "request"));
    EXPECT_GT(int_member(line.value(), "time_ms"), 0);
}

TEST_F(event_log_test, stalled_reader_does_not_block_the_writer) {
    event_log log(write_end(), "router-1");
    Json::Value fields;
    fields["filler"] = std::string(4096, 'x');
    for (int i = 0; i < 1000; ++i) {
        log.write_failure("refused", fields);
        log.flush();
    }
    EXPECT_GT(log.dropped_lines(), 0U);
}

TEST_F(event_log_test, events_beyond_the_rate_limit_are_dropped_and_counted) {
    event_log log(write_end(), "router-1");
    for (int i = 0; i < 2 * event_log::max_lines_per_second + 2; ++i) {
        log.write("answered");
    }
    EXPECT_GT(log.dropped_lines(), 0U);
}

} // namespace
} // namespace eelgrassgw

#pragma once

/// Structured log that writes to a file descriptor without blocking the caller.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrassgw {

/// Collects JSON lines in a bounded buffer; `flush` writes as much as the descriptor accepts. The log drops
/// and counts lines that exceed the buffer or the rate limit of their event, and later logs the count. Not
/// thread-safe.
class event_log {
public:
    static constexpr std::size_t max_buffer_bytes = 512U << 10U;
    static constexpr int max_lines_per_second = 400;          ///< Rate limit of each event.
    static constexpr int max_failure_lines_per_second = 1200; ///< Rate limit of each failure event.

    /// Writes `process` as the process name in every line. Makes `descriptor` non-blocking.
    event_log(int descriptor, std::string process);

    /// Adds a line with the time, the process, `event` and the members of `fields`.
    void write(const char* event, Json::Value fields = Json::Value(Json::objectValue));

    /// Adds a line for an event that reports a failure, which has a higher rate limit.
    void write_failure(const char* event, Json::Value fields = Json::Value(Json::objectValue));

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    /// Returns the number of lines dropped so far.
    std::uint64_t dropped_lines() const { return dropped_lines_; }

private:
    struct event_rate {
        std::int64_t unix_second = 0;
        int line_count = 0;
    };

    void add_line(const char* event, Json::Value fields, int max_lines);
    bool count_line_within_rate(const char* event, std::int64_t unix_second, int max_lines);
    void append_line(const char* event, Json::Value fields, std::int64_t unix_ms);

    int descriptor_;
    std::string process_;
    std::string buffer_;
    std::map<std::string, event_rate> rates_;
    std::uint64_t dropped_lines_ = 0;
    std::uint64_t reported_dropped_lines_ = 0; ///< Number of dropped lines that the log has reported.
};

} // namespace eelgrassgw

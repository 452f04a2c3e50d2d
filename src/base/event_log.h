#pragma once

/// Structured log lines to a descriptor, written without ever blocking the caller.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrassgw {

/// Collects JSON lines in a bounded buffer; `flush` writes as much as the descriptor takes. Lines beyond the
/// buffer or beyond the rate of their event are dropped and counted, and the count is logged. Not
/// thread-safe.
class event_log {
public:
    static constexpr std::size_t largest_buffer = 512U << 10U; // Bytes.
    static constexpr int most_lines_per_second = 400;          ///< Of one event.
    static constexpr int most_failure_lines_per_second = 1200; ///< Of one event that reports a failure.

    /// `process` names the process in every line. Makes `descriptor` non-blocking.
    event_log(int descriptor, std::string process);

    /// Adds a line: time, process, `event`, then the members of `fields`.
    void write(const char* event, Json::Value fields = Json::Value(Json::objectValue));

    /// The same for an event that reports a failure; sampled last.
    void write_failure(const char* event, Json::Value fields = Json::Value(Json::objectValue));

    /// Writes what the descriptor takes now.
    void flush();

    /// Lines that were dropped so far.
    std::uint64_t dropped() const { return dropped_; }

private:
    struct rate {
        std::int64_t second = 0;
        int lines = 0;
    };

    void add(const char* event, Json::Value fields, int most_lines);
    bool within_rate(const char* event, std::int64_t second, int most_lines);
    void append(const char* event, Json::Value fields, std::int64_t unix_ms);

    int descriptor_;
    std::string process_;
    std::string buffer_;
    std::map<std::string, rate> rates_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0; ///< Of `dropped_`.
};

} // namespace eelgrassgw

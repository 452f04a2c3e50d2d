#pragma once

/// Describes a request that asks for room at the backend servers.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace eelgrassgw {

/// What the order of waiting requests depends on.
struct admission_request {
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    /// Prompt tokens that a server reads in a millisecond; model servers read 62 to 125.
    static constexpr std::int64_t read_tokens_per_ms = 60;

    /// Prompt tokens that a server could read in the time that one output token adds to the steps of its
    /// batch. A request adds 0.03 to 0.08 ms to a step, in which some 3 tokens are read.
    static constexpr std::int64_t read_tokens_per_output_token = 3;

    /// Prompts below this size are short. Routers announce prompts from the same size to each other.
    static constexpr std::int64_t long_prompt_tokens = 4000;

    std::string service;     ///< Service whose servers can run it.
    std::string customer;    ///< Name of the customer; may be empty.
    std::string route;       ///< Name of the route, which is the request's kind.
    std::string shared_part; ///< Last prompt part shared with other requests; may be empty.
    int priority = 0;        ///< 0 is the most urgent.

    std::int64_t unread_tokens = 0; ///< Prompt tokens that a server must read.
    std::int64_t output_tokens = 0; ///< Largest number of tokens of the answer.
    std::size_t bytes = 0;          ///< Memory held while the request waits.

    clock::time_point started{};  ///< When the request began to arrive.
    milliseconds objective{0};    ///< Time from `started` within which the answer is on time.
    clock::time_point deadline{}; ///< When the caller stops waiting.

    /// Bound on a server's unread tokens; requests with equal bounds find room in the order of their size.
    std::int64_t max_unread_tokens = 0;

    /// Prompt tokens that the servers of the service read in a millisecond; used until the rate is measured.
    double expected_rate = read_tokens_per_ms;

    /// Whether the request had not been sent before, so that any server of the service may run it.
    bool is_first_send = true;

    /// Returns the work that the request needs, in prompt tokens.
    std::int64_t work() const {
        return std::max<std::int64_t>(1, unread_tokens + read_tokens_per_output_token * output_tokens);
    }

    bool is_short() const { return unread_tokens < long_prompt_tokens; }

    /// Returns the time that a server needs to read the prompt.
    milliseconds reading_time() const { return milliseconds(unread_tokens / read_tokens_per_ms); }

    /// Returns until when the request must be sent so that its answer is on time.
    clock::time_point latest_timely_start() const { return started + objective - reading_time(); }

    /// Returns until when it is worthwhile to send the request. A late answer is worth a tenth to a third of
    /// a timely one, so room is spent on an answer that comes up to twice the objective after the request; a
    /// later one would cost requests that can still be on time.
    clock::time_point latest_start() const {
        return std::min(started + 2 * objective, deadline) - reading_time();
    }
};

} // namespace eelgrassgw

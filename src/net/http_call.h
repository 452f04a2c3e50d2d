#pragma once

/// Sends an HTTP request and reads its whole reply; meant for control traffic.

#include "net/connection_pool.h"

namespace eelgrassgw {

/// Timeouts of one call.
struct call_timeouts {
    std::chrono::milliseconds connect{300}; ///< Longest time to open a connection.
    /// Longest time from sending the request to the end of the reply, which the bytes that arrive extend.
    std::chrono::milliseconds reply{1000};
};

/// Largest body of a reply to a control call.
inline constexpr std::size_t max_reply_bytes = 8U << 20U;

/// How the reply to one call arrived.
struct reply_arrival {
    using clock = std::chrono::steady_clock;

    clock::time_point sent_at{};       ///< Time at which the request was about to be sent.
    clock::time_point first_read_at{}; ///< Time of the first read; that of the epoch if nothing was read.
    clock::time_point ended_at{};      ///< Time at which the whole reply had been read, or the call failed.
    std::size_t bytes = 0;             ///< Number of bytes that were read.
    int reads = 0;                     ///< Number of reads that brought bytes.
};

/// Sends `request` once to `address` and returns the reply. Fails with `unreachable` if no connection could
/// be opened, so that nothing was sent, with `reply_too_large` as soon as it shows that the reply's body
/// exceeds `max_bytes`, and with `outcome_unknown` if no whole reply arrived in time. Stores in `arrival` how
/// the reply arrived, unless it is null. Precondition: the pool and `arrival` outlive the call.
task<result<text_reply>> call_http(connection_pool& pool, std::string address, text_request request,
                                   call_timeouts timeouts, reply_arrival* arrival = nullptr,
                                   std::size_t max_bytes = max_reply_bytes);

} // namespace eelgrassgw

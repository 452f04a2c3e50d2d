#pragma once

/// Remembers at a relay where streams began, for routers that take them up.

#include "eelgrassgw/metrics/metrics.h"
#include "net/notice_channel.h"
#include "streams/origin_memory.h"

#include <string>

namespace eelgrassgw {

/// Keeps what routers tell of streams, which so outlives all of them together, and answers their questions.
/// Not thread-safe.
class origin_keeper {
public:
    /// Precondition: `metrics` outlives this object, which outlives the context's tasks.
    origin_keeper(asio::io_context& context, metrics_registry& metrics);

    /// Starts to receive notices at `address`, which has the form IP:port.
    result<done> start(const std::string& address);

private:
    result<done> keep(const Json::Value& notice);
    result<done> answer(const Json::Value& notice);

    notice_channel channel_;
    metrics_registry& metrics_;
    std::string address_;
    origin_memory memory_;
};

} // namespace eelgrassgw

#pragma once

/// Passes a router's calls on to the platform's store, for routers that cannot reach it themselves.

#include "base/event_log.h"
#include "eelgrassgw/metrics/metrics.h"
#include "gateway/gateway_settings.h"
#include "net/connection_pool.h"
#include "relay/relay_protocol.h"

#include <string>

namespace eelgrassgw {

/// Decides nothing and keeps nothing: a call goes to the store once, and its reply goes back as it is. Calls
/// only ever go to the store, so relays cannot form a loop. Not thread-safe.
class relay {
public:
    static constexpr std::chrono::seconds announce_interval{2};
    static constexpr std::chrono::milliseconds connect_limit{250}; ///< To the store.
    static constexpr std::chrono::milliseconds default_limit{1000};
    static constexpr std::chrono::milliseconds longest_limit{35000};
    static constexpr int most_calls_in_progress = 256;

    relay(asio::io_context& context, relay_settings settings, event_log& log, metrics_registry& metrics);

    /// Starts to listen, and tells the peers of this relay from time to time.
    result<done> start();

private:
    task<text_reply> pass_on(text_request request);
    task<void> announce();

    asio::io_context& context_;
    relay_settings settings_;
    event_log& log_;
    metrics_registry& metrics_;
    connection_pool pool_;
    int in_progress_ = 0;
    bool store_lost_ = false;
};

} // namespace eelgrassgw

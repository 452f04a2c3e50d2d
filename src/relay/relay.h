#pragma once

/// Runs beside a backend server, batches the routers' requests to the budget ledger, and forwards the store
/// calls of routers that cannot reach the platform's store themselves.

#include "base/event_log.h"
#include "eelgrassgw/metrics/metrics.h"
#include "gateway/gateway_settings.h"
#include "net/connection_pool.h"
#include "net/http_service.h"
#include "relay/relay_protocol.h"
#include "streams/origin_keeper.h"

#include <string>

namespace eelgrassgw {

/// Serves routers without storing any data but, for a while and in memory, where streams began. It sends
/// every forwarded call to the store once and returns the store's whole reply. It never forwards calls to
/// another relay, so relays cannot form a loop. Not thread-safe.
class relay {
public:
    static constexpr std::chrono::seconds announce_interval{2};
    /// Longest time to connect to the store.
    static constexpr std::chrono::milliseconds connect_timeout{250};
    /// Longest wait for the store's reply to a call that does not state a timeout.
    static constexpr std::chrono::milliseconds default_reply_timeout{1000};
    /// Upper bound of the timeout that a call may state.
    static constexpr std::chrono::milliseconds max_reply_timeout{35000};
    static constexpr int max_calls_in_progress = 256;

    /// Constructs a relay that passes requests to the budget ledger to `serve_ledger`. `intake` counts its
    /// connections and outlives it; if it is null, they are not counted.
    relay(asio::io_context& context, relay_settings settings, event_log& log, metrics_registry& metrics,
          http_service::handler serve_ledger, intake_guard* intake = nullptr);

    /// Starts to listen, for calls and for notices about streams, and to announce this relay to its peers
    /// periodically.
    result<done> start();

private:
    task<text_reply> handle_request(text_request request);
    task<text_reply> forward_to_store(text_request request);
    task<void> announce_to_peers();

    asio::io_context& context_;
    relay_settings settings_;
    event_log& log_;
    metrics_registry& metrics_;
    http_service::handler serve_ledger_;
    intake_guard* intake_;
    connection_pool pool_;
    origin_keeper origin_keeper_;
    int calls_in_progress_ = 0;
    bool store_unreachable_ = false;
};

} // namespace eelgrassgw

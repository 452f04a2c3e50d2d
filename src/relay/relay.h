#pragma once

/// The process beside a backend server: joins the routers' requests to the budget ledger, and passes other
/// calls of routers that cannot reach the platform's store on to it.

#include "base/event_log.h"
#include "eelgrassgw/metrics/metrics.h"
#include "gateway/gateway_settings.h"
#include "net/connection_pool.h"
#include "net/http_service.h"
#include "relay/relay_protocol.h"

#include <string>

namespace eelgrassgw {

/// Keeps nothing: a call goes to the store once, and its reply goes back as it is. Calls only ever go to the
/// store, so relays cannot form a loop. Not thread-safe.
class relay {
public:
    static constexpr std::chrono::seconds announce_interval{2};
    static constexpr std::chrono::milliseconds connect_limit{250}; ///< To the store.
    static constexpr std::chrono::milliseconds default_limit{1000};
    static constexpr std::chrono::milliseconds longest_limit{35000};
    static constexpr int most_calls_in_progress = 256;

    /// `serve_ledger` answers requests to the budget ledger.
    relay(asio::io_context& context, relay_settings settings, event_log& log, metrics_registry& metrics,
          http_service::handler serve_ledger);

    /// Starts to listen, and tells the peers of this relay from time to time.
    result<done> start();

private:
    task<text_reply> answer(text_request request);
    task<text_reply> pass_on(text_request request);
    task<void> announce();

    asio::io_context& context_;
    relay_settings settings_;
    event_log& log_;
    metrics_registry& metrics_;
    http_service::handler serve_ledger_;
    connection_pool pool_;
    int in_progress_ = 0;
    bool store_lost_ = false;
};

} // namespace eelgrassgw

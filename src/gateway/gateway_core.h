#pragma once

/// What all requests of one router share.

#include "backends/backend_directory.h"
#include "base/event_log.h"
#include "eelgrassgw/metrics/metrics.h"
#include "gateway/request_terms.h"
#include "net/connection_pool.h"
#include "placing/prompt_notices.h"
#include "retries/retry_budget.h"
#include "routes/fleet_configuration.h"

#include <concepts>
#include <memory>
#include <string>

namespace eelgrassgw {

/// How callers and backend servers are spoken to. `decode` reads what a request says of itself, `to_backend`
/// makes the request that a backend server gets, `judge` reads the head of its answer, and `to_caller` makes
/// the head that the caller gets; `label` marks an answer of the gateway's own.
template <class T>
concept caller_protocol = requires(const T protocol, const text_request& request, const request_terms& terms,
                                   const backend_send& send, const http::response_header<>& head,
                                   text_reply& own) {
    { protocol.decode(request) } -> std::same_as<result<request_terms>>;
    { protocol.to_backend(request, terms, send) } -> std::same_as<text_request>;
    { protocol.judge(head, terms) } -> std::same_as<answer_kind>;
    {protocol.label(own, terms)};
    { protocol.to_caller(head) } -> std::same_as<http::response_header<>>;
};

/// Not thread-safe: all tasks run on one thread.
template <caller_protocol Protocol, class Budgets>
struct gateway_core {
    gateway_core(asio::io_context& io, Budgets& keeper, event_log& events, metrics_registry& registry,
                 const retry_limits& limits, const std::string& incarnation)
        : context(io), budgets(keeper), log(events), metrics(registry), pool(io), retries(limits),
          notices(io, directory, incarnation) {}

    asio::io_context& context;
    Budgets& budgets;
    event_log& log;
    metrics_registry& metrics;
    Protocol protocol;
    connection_pool pool;
    retry_budget retries;
    backend_directory directory;
    prompt_notices notices;
    std::shared_ptr<const fleet_configuration> configuration; ///< Null before the first one is known.
    bool draining = false;      ///< A planned stop has begun: not ready, still serving.
    bool refusing = false;      ///< Late in a planned stop: new requests are refused.
    bool closing = false;       ///< In a planned stop: connections close after their answer.
    int running = 0;            ///< Requests in progress.
    std::size_t body_bytes = 0; ///< Of all requests in progress.
};

} // namespace eelgrassgw

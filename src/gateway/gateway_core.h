#pragma once

/// State that all requests of one router share.

#include "admission/admission_control.h"
#include "backends/backend_directory.h"
#include "base/event_log.h"
#include "eelgrassgw/metrics/metrics.h"
#include "gateway/reply_evidence.h"
#include "gateway/request_terms.h"
#include "gateway/unrepeatable_requests.h"
#include "intake/intake_guard.h"
#include "limits/limit_notices.h"
#include "net/connection_pool.h"
#include "overload/deferred_queue.h"
#include "overload/load_monitor.h"
#include "places/place_rules.h"
#include "placing/prompt_notices.h"
#include "quarantine/crash_detector.h"
#include "quarantine/part_quarantine.h"
#include "quarantine/request_fingerprint.h"
#include "retries/retry_budget.h"
#include "routes/configuration_freshness.h"
#include "routes/configuration_notices.h"
#include "routes/fleet_configuration.h"
#include "streams/stream_origins.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Requirements on the protocol between callers, the gateway and backend servers. `decode` parses the
/// metadata of a caller's request, `make_backend_request` builds the request for a backend server,
/// `read_evidence` decodes what the head of the server's answer says about the request, `read_server_notice`
/// what it says about the server, and `make_caller_head` builds the head for the caller. `add_request_id`
/// adds the request's id to an answer that the gateway itself generates.
template <class T>
concept caller_protocol = requires(const T protocol, const text_request& request, const request_terms& terms,
                                   const backend_request_metadata& metadata,
                                   const http::response_header<>& head, const std::string& server_id,
                                   text_reply& own) {
    { protocol.decode(request) } -> std::same_as<result<request_terms>>;
    { protocol.make_backend_request(request, terms, metadata) } -> std::same_as<text_request>;
    { protocol.read_evidence(head, terms, server_id) } -> std::same_as<reply_evidence>;
    { protocol.read_server_notice(head) } -> std::same_as<server_notice>;
    {protocol.add_request_id(own, terms)};
    { protocol.make_caller_head(head) } -> std::same_as<http::response_header<>>;
};

/// Holds the connections, the configuration and the counters that all requests use. Not thread-safe: all
/// tasks run on one thread.
template <caller_protocol Protocol, class Budgets>
struct gateway_core {
    gateway_core(asio::io_context& io, Budgets& keeper, event_log& events, metrics_registry& registry,
                 const retry_limits& limits, const std::string& incarnation,
                 const std::string& notice_address)
        : context(io), callers(deferred_executor(io)), budgets(keeper), log(events), metrics(registry),
          pool(callers), retries(limits), notices(io), long_prompts(notices, directory, incarnation),
          server_limits(notices, directory, notice_address),
          version_notices(
              notices, freshness,
              [this](const char* event, Json::Value fields) { log.write(event, std::move(fields)); }),
          origins(io, notices, notice_address),
          quarantine([this](const auto& parts, const evidence_by_part& evidence, bool is_quarantined) {
              log_quarantine(parts, evidence, is_quarantined);
          }),
          crashes(io, pool, quarantine,
                  [this](const char* event, Json::Value fields) { log.write(event, std::move(fields)); }),
          admission(std::make_shared<admission_control>(io, registry)),
          load(io, registry,
               [this](const char* event, Json::Value fields) { log.write(event, std::move(fields)); }) {
        long_prompts.set_room_handler([this] { admission->room_appeared(); });
    }

    /// Logs that prompt parts or a request got into quarantine or were released, with the servers that
    /// crashed under them.
    void log_quarantine(const part_quarantine::part_group& parts, const evidence_by_part& evidence,
                        bool is_quarantined) {
        Json::Value fields;
        for (const std::string& part : parts) {
            fields["parts"].append(part);
        }
        fields["evidence"] = to_json(evidence);
        const bool is_request = std::all_of(parts.begin(), parts.end(), is_fingerprint);
        const char* event = is_request       ? (is_quarantined ? "request_quarantined" : "request_released")
                            : is_quarantined ? "prompt_parts_quarantined"
                                             : "prompt_parts_released";
        log.write_failure(event, std::move(fields));
    }

    intake_guard* intake = nullptr; ///< Limits of the connections; set before the first one is accepted.
    asio::io_context& context;      ///< Runs control work at once.
    asio::any_io_executor callers;  ///< Runs callers' work after the control work.
    Budgets& budgets;
    event_log& log;
    metrics_registry& metrics;
    Protocol protocol;
    connection_pool pool;
    retry_budget retries;
    backend_directory directory;
    notice_channel notices;
    prompt_notices long_prompts;
    limit_notices server_limits;
    configuration_freshness freshness; ///< Whether a newer configuration is known.
    configuration_notices version_notices;
    stream_origins origins; ///< Which versions began the streams that callers may take up.
    place_rules places;
    part_quarantine quarantine; ///< Parts whose requests are kept from backend servers.
    crash_detector crashes;
    std::shared_ptr<admission_control> admission; ///< Never null; waiting requests share it.
    load_monitor load;                            ///< Tells whether this process is short of its resources.
    unrepeatable_requests unrepeatable; ///< What may run only once, and is in progress or may have run.
    std::shared_ptr<const fleet_configuration> configuration; ///< Null until the first one is known.
    std::function<bool()> is_cut_off = [] {
        return false;
    };                                 ///< Whether no path to the store works.
    bool place_by_wait = false;        ///< Whether the expected wait decides which server gets a request.
    bool draining = false;             ///< True once a graceful stop has begun; requests are still served.
    bool refusing_requests = false;    ///< True late in a graceful stop, when new requests are refused.
    bool closing_connections = false;  ///< True when connections are to close after their next answer.
    int running_requests = 0;          ///< Number of requests in progress.
    std::size_t body_bytes_in_use = 0; ///< Total body size of all requests in progress.
};

} // namespace eelgrassgw

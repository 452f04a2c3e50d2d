#pragma once

/// The message with which a router asks an agent to run a request.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/configuration/configuration.h"
#include "eelgrassgw/platform/object_store.h"

#include <chrono>
#include <string>

namespace eelgrassgw {

/// Holds the sender, the receiver, the limits and the content of a request. An agent runs each request id at
/// most once.
struct ticket {
    std::string request_id;
    std::string customer;
    std::string budget;
    std::string router; ///< Incarnation of the router whose allowance covers the tokens.
    object_version router_registered_at = absent_version; ///< Store version at which the router registered.
    std::string agent;  ///< Incarnation of the agent that may run the ticket; other agents refuse it.
    std::string digest; ///< Hash of the caller's body; the same key with another hash is refused as reused.
    std::string priority = "normal";
    std::string model;  ///< Name of the model; empty for a call to a plain service.
    std::string method; ///< HTTP method of the service call.
    std::string path;   ///< Path of the service call.
    std::string query;  ///< Percent-encoded query of the service call.
    std::string body;   ///< JSON object with the chat messages, or the body of the service call.
    std::string nonce;  ///< Random id of this ticket, by which its router recognises the run.
    int attempt = 1;
    bool idempotent = true;
    bool has_caller_key = false;           ///< True if the request id was made from an idempotency key.
    tokens reserved = 0;                   ///< Maximum number of tokens that the run may use.
    tokens max_tokens = 0;                 ///< Maximum number of generated tokens.
    tokens price = 0;                      ///< Price of a service call, in tokens.
    std::chrono::milliseconds deadline{0}; ///< Time limit, counted from the arrival of the ticket.
    configuration_revision revision = 0;
    int max_running = 0; ///< Limit on parallel runs in that revision; 0 means no limit.

    bool is_model_request() const { return !model.empty(); }
    Json::Value to_json() const;
    static ticket from_json(const Json::Value& json);
};

} // namespace eelgrassgw

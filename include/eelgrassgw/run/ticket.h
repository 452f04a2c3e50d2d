#pragma once

/// What a router asks an agent to run.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/configuration/configuration.h"
#include "eelgrassgw/platform/object_store.h"

#include <chrono>
#include <string>

namespace eelgrassgw {

/// The names of the two sides, the limits and the work. An agent runs a request id at most once.
struct ticket {
    std::string request_id;
    std::string customer;
    std::string budget;
    std::string router;                                   ///< Incarnation of the router whose allowance pays.
    object_version router_registered_at = absent_version; ///< Version of the store at its registration.
    std::string agent;  ///< Incarnation of the agent that shall run it; any other refuses.
    std::string digest; ///< Of the caller's body, to tell a repeated key from a reused one.
    std::string priority = "normal";
    std::string model;  ///< Empty for a call of a plain service.
    std::string method; ///< Of the service's call.
    std::string path;
    std::string query; ///< Of the service's call, percent-encoded.
    std::string body;  ///< The chat messages as JSON, or the service call's body.
    std::string nonce; ///< Random; tells a router which run is its own after a lost answer.
    int attempt = 1;
    bool idempotent = true;
    bool has_caller_key = false;           ///< The request may be a repetition of an earlier one.
    tokens reserved = 0;                   ///< The run uses at most this much.
    tokens max_tokens = 0;                 ///< Generated tokens at most.
    tokens price = 0;                      ///< Of a service's call.
    std::chrono::milliseconds deadline{0}; ///< From the ticket's arrival.
    configuration_revision revision = 0;
    int max_running = 0; ///< Runs at once at a backend server under that revision; 0: no limit given.

    bool is_model_request() const { return !model.empty(); }
    Json::Value to_json() const;
    static ticket from_json(const Json::Value& from);
};

} // namespace eelgrassgw

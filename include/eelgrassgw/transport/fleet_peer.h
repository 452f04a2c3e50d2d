#pragma once

/// Calls between the processes of the fleet, which prove themselves with the fleet key.

#include "eelgrassgw/transport/http_client.h"
#include "eelgrassgw/transport/rpc.h"

namespace eelgrassgw {

/// Adds the proof that the sender holds `fleet_key`: an HMAC over method, path, query and body.
void sign_request(http_request& request, const std::string& fleet_key);

/// Whether `request` carries the proof. Thread-safe.
bool has_valid_signature(const http_request& request, const std::string& fleet_key);

/// Path on which every process of the fleet answers JSON-RPC.
extern const char* const rpc_path;

/// Calls the JSON-RPC method `name` of `peer` over a connection of its own.
/// Errors: `unreachable`, `outcome_unknown`, `refused` (the peer's error text). Thread-safe.
result<Json::Value> call_peer(const endpoint& peer, const std::string& fleet_key, const std::string& name,
                              const Json::Value& params, const http_timeouts& timeouts);

} // namespace eelgrassgw

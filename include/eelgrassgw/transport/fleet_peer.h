#pragma once

/// Calls between the processes of the fleet, which authenticate each other with the fleet key.

#include "eelgrassgw/transport/http_client.h"
#include "eelgrassgw/transport/rpc.h"

namespace eelgrassgw {

/// Signs `request` with an HMAC under `fleet_key` over the method, path, query and body.
void sign_request(http_request& request, const std::string& fleet_key);

/// Returns whether `request` has a valid signature under `fleet_key`. Thread-safe.
bool has_valid_signature(const http_request& request, const std::string& fleet_key);

/// Path at which every process of the fleet serves JSON-RPC.
extern const char* const rpc_path;

/// Calls the JSON-RPC method `name` of `peer` over a new connection.
/// Errors: `unreachable`, `outcome_unknown`, `refused` (with the peer's error text). Thread-safe.
result<Json::Value> call_peer(const endpoint& peer, const std::string& fleet_key, const std::string& name,
                              const Json::Value& params, const http_timeouts& timeouts);

} // namespace eelgrassgw

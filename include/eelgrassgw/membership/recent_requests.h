#pragma once

/// The remote call that fetches request ids from an open router.

#include "eelgrassgw/membership/request_memory.h"

namespace eelgrassgw {

/// Fetches from `router` the ids of the requests that it remembers for `params["backend_server"]`. Fails if
/// the router is unreachable or if another incarnation replies. Thread-safe.
result<std::vector<std::string>> ask_recent_requests(const router_member& router,
                                                     const std::string& fleet_key, const Json::Value& params);

} // namespace eelgrassgw

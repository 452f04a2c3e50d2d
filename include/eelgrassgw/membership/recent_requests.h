#pragma once

/// The question that collects the ids of requests from an open router.

#include "eelgrassgw/membership/request_memory.h"

namespace eelgrassgw {

/// Asks `router` which requests it remembers for `params["backend_server"]`. Errors: it cannot be asked, or
/// another incarnation answers. Thread-safe.
result<std::vector<std::string>> ask_recent_requests(const router_member& router,
                                                     const std::string& fleet_key, const Json::Value& params);

} // namespace eelgrassgw

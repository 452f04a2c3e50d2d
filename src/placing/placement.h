#pragma once

/// Chooses the backend server that receives a request.

#include "backends/backend_directory.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// The properties of a request that the choice of a backend server depends on.
struct placement_request {
    std::string shared_prompt_part; ///< Last prompt part shared with other requests; may be empty.

    /// Tokens of the shared parts, which a server that has not read them must read.
    std::int64_t shared_tokens = 0;

    std::vector<std::string> excluded; ///< Ids of servers that were already tried.
    std::uint64_t random = 0;          ///< Random number that breaks ties among equally loaded servers.
};

/// Returns one of `candidates`, or null if all of them are excluded, accept no requests at `now` or have no
/// room within their limits.
///
/// A request with a shared prompt part goes to the first server in the rendezvous hashing order of that part.
/// The order is the same at all routers, so only one server has to read the part. A server is skipped while
/// it has too many prompt tokens to read or far more requests than the mean; the more tokens the request
/// shares, the more unread tokens are accepted. This keeps the load even when many requests share a few
/// prompt parts, when requests for one part arrive in a burst, and when a very long prompt would delay all
/// requests behind it. A request without a shared part goes to the server with the fewest requests of this
/// process.
std::shared_ptr<tracked_backend>
choose_backend_server(const std::vector<std::shared_ptr<tracked_backend>>& candidates,
                      const placement_request& request, tracked_backend::clock::time_point now);

} // namespace eelgrassgw

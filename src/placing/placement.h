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

    std::int64_t unread_tokens = 0; ///< Tokens of the prompt that each server must read.

    /// Bound on the unread prompt tokens of a server, with those of the request; 0 if there is none. A server
    /// with nothing to read takes a prompt of any size.
    std::int64_t max_unread_tokens = 0;

    std::vector<std::string> excluded; ///< Ids of servers that were already tried.
    std::uint64_t random = 0;          ///< Random number that breaks ties among equally loaded servers.
};

/// The result of the choice.
struct placement_outcome {
    std::shared_ptr<tracked_backend> server; ///< Null if there is none.
    bool no_room = false; ///< Whether candidates exist, but each is beyond its bound on unread tokens.
};

/// Returns the bound on the unread prompt tokens of a server whose streams may pause for `max_event_gap`:
/// what the server reads in half of that time. The other half is left for the steps between.
std::int64_t max_unread_tokens_within(std::chrono::milliseconds max_event_gap);

/// Returns one of `candidates`, or none if all of them are excluded, accept no requests at `now` or have no
/// room within their limits.
///
/// A request with a shared prompt part goes to the first server in the rendezvous hashing order of that part.
/// The order is the same at all routers, so only one server has to read the part. A server is skipped while
/// it has too many prompt tokens to read or far more requests than the mean; the more tokens the request
/// shares, the more unread tokens are accepted. This keeps the load even when many requests share a few
/// prompt parts, when requests for one part arrive in a burst, and when a very long prompt would delay all
/// requests behind it. A request without a shared part goes to the server with the fewest requests of this
/// process.
placement_outcome choose_backend_server(const std::vector<std::shared_ptr<tracked_backend>>& candidates,
                                        const placement_request& request,
                                        tracked_backend::clock::time_point now);

} // namespace eelgrassgw

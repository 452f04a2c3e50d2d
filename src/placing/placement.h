#pragma once

/// Which backend server gets a request.

#include "backends/backend_directory.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// What placing looks at in a request.
struct placement_request {
    std::string shared_prompt_part;    ///< Last part of the prompt that other requests share; may be empty.
    std::int64_t shared_tokens = 0;    ///< Read again where the server has not read the shared parts.
    std::vector<std::string> excluded; ///< Ids of servers that have been tried.
    std::uint64_t random = 0;          ///< Breaks ties among equally loaded servers.
};

/// Chooses among `candidates`, or returns null where all are excluded.
///
/// Requests with a shared prompt part go to the first server of a rendezvous order by that part, which is the
/// same at all routers, so that the part is read once. A server is passed over while it has long prompts to
/// read (the more the request's shared parts cost, the more it waits for its own server), or far more
/// requests than the mean. All others go to the server with the fewest requests of this process. Load
/// answered: many requests on few prompt parts, bursts on one of them, and prompts so long that all behind
/// them would be late.
std::shared_ptr<tracked_backend>
choose_backend_server(const std::vector<std::shared_ptr<tracked_backend>>& candidates,
                      const placement_request& request, tracked_backend::clock::time_point now);

} // namespace eelgrassgw

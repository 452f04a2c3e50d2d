#pragma once

/// Chooses the backend server that receives a request.

#include "backends/backend_directory.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// What bounds the work that may wait at one server.
struct placement_bound {
    /// Shortest pause between two events that a route of the service allows; 0 if there is no bound.
    std::chrono::milliseconds max_event_gap{0};

    int max_tokens_per_event = 1; ///< Steps that a server takes for an event.
    std::int64_t kv_capacity = 0; ///< Tokens that a server's memory holds; 0 if not stated.
};

/// The properties of a request that the choice of a backend server depends on.
struct placement_request {
    std::string shared_prompt_part; ///< Last prompt part shared with other requests; may be empty.

    /// Tokens of the shared parts, which a server that has not read them must read.
    std::int64_t shared_tokens = 0;

    std::vector<std::string> excluded; ///< Ids of servers that were already tried.
    std::uint64_t random = 0;          ///< Random number that breaks ties among equally loaded servers.

    bool carries_prompt = false;      ///< Whether a server has to read a prompt for the request.
    std::int64_t unshared_tokens = 0; ///< Tokens of the prompt that every server must read.
    std::int64_t held_tokens = 0;     ///< Largest number of tokens that the request can hold in memory.
    placement_bound bound;            ///< Bound that the servers are kept to; by default none.

    /// Whether the expected wait decides; otherwise the requests of this process and the unread tokens.
    bool by_wait = true;
};

/// Why a server was chosen.
enum class placement_reason {
    affinity,      ///< It is the first server in the order of the shared prompt part.
    shortest_wait, ///< The request waits there for the shortest time, or it is the next in that order.
    long_prompt,   ///< It is one of the servers that take the long prompts while room is short.
    least_loaded,  ///< It has the fewest requests for its speed.
};

/// Returns the name of a reason in the metrics.
const char* name_of(placement_reason reason);

/// The chosen server.
struct placement_outcome {
    std::shared_ptr<tracked_backend> server; ///< Null if there is none.
    bool no_room = false; ///< Whether there are candidates, but each of them is beyond its bound.
    placement_reason reason = placement_reason::least_loaded;

    /// Prompt tokens that the server is expected to read for the request.
    std::int64_t tokens_to_read = 0;
};

/// Returns one of `candidates`, or no server if all of them are excluded, accept no requests at `now` or have
/// no room within their limits.
///
/// A request with a prompt goes where its first event is expected soonest: the prompt tokens that the server
/// has to read before it and its own, divided by the measured speed of the server, and a cost for each
/// running request. Shared parts that the server has read cost nothing. A request with a shared part stays at
/// the first server in the rendezvous hashing order of that part unless it would wait much longer there than
/// elsewhere or the server runs far more requests than the mean; the more tokens the request shares, the
/// longer it may wait. The order is the same at all routers, so only one server has to read the part. A
/// request without a prompt goes to the server with the fewest requests of this process for its speed.
///
/// With a bound, a server takes a prompt only while all prompt tokens that wait there can be read within the
/// pause between two events that the routes allow. While room is short, long prompts go to the first servers
/// with room in an order that is the same at all routers, so that the other servers stay free for short ones.
placement_outcome choose_backend_server(const std::vector<std::shared_ptr<tracked_backend>>& candidates,
                                        const placement_request& request,
                                        tracked_backend::clock::time_point now);

} // namespace eelgrassgw

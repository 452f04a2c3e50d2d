#pragma once

/// Ways to the platform's store: directly, or through a relay beside a backend server.

#include "base/event_sink.h"
#include "eelgrassgw/base/json.h"
#include "net/http_call.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// How long a call to the store may wait, and on which way it may try a doubtful path.
enum class call_urgency {
    urgent,  ///< A request waits for it: only paths that worked last.
    patient, ///< Long polls: the direct path is tried again from time to time.
};

/// Calls the store over the first path that answers. A call may reach the store more than once, over several
/// paths, so writes must be conditional. Not thread-safe.
///
/// Failure answered: this VM is cut off from the store, or turned away by it, while others are not.
class store_paths {
public:
    using clock = std::chrono::steady_clock;

    static constexpr std::chrono::milliseconds connect_limit{250};
    static constexpr std::chrono::milliseconds shortest_reply_limit{500};
    static constexpr std::chrono::milliseconds longest_reply_limit{2500};
    static constexpr std::chrono::milliseconds first_rest{
        1000}; ///< A path that failed is left alone for this.
    static constexpr std::chrono::milliseconds longest_rest{4000};
    static constexpr std::size_t most_paths_a_call = 3;

    /// `store` is the store's address. Precondition: `pool` outlives this object.
    store_paths(connection_pool& pool, std::string store, event_sink_function log);

    void set_store(const std::string& store) { store_ = store; }

    /// The relays that are known now, best first.
    void set_relays(std::vector<std::string> relays);
    const std::vector<std::string>& relays() const { return relays_; }

    /// `extra` is how long the store itself may hold the call back, as for a long poll.
    task<result<text_reply>> call(text_request request, call_urgency urgency,
                                  std::chrono::milliseconds extra = std::chrono::milliseconds(0));

    /// Whether the last call over every path failed.
    bool all_paths_failed() const { return all_failed_; }

private:
    struct path_state {
        clock::time_point rest_until{};
        std::chrono::milliseconds rest{0};
    };

    std::vector<std::string> candidates(call_urgency urgency, clock::time_point now) const;
    void note_success(const std::string& path);
    void note_failure(const std::string& path, const std::string& why, clock::time_point now);
    bool rests(const std::string& path, clock::time_point now) const;

    connection_pool& pool_;
    std::string store_;
    event_sink_function log_;
    std::vector<std::string> relays_;
    std::map<std::string, path_state> failed_; ///< Paths whose last call failed.
    std::chrono::milliseconds reply_limit_ = shortest_reply_limit;
    bool all_failed_ = false;
};

} // namespace eelgrassgw

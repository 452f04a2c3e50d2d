#pragma once

/// Calls the platform's store directly, or through a relay beside a backend server if the direct path fails.

#include "base/event_sink.h"
#include "eelgrassgw/base/json.h"
#include "net/http_call.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// How urgent a call to the store is, which decides when it retries a path that failed before.
enum class call_urgency {
    /// A caller waits for the result, so the call tries failed paths only after all others.
    urgent,
    /// No caller waits, as in a long poll, so the call retries a failed path once its backoff has ended.
    background,
};

/// Calls the store over the first path that replies. A call may reach the store more than once, over several
/// paths, so writes must be conditional. Not thread-safe.
///
/// This class covers the case in which this VM cannot reach the store, or is rejected by it, while other VMs
/// can still use it.
class store_paths {
public:
    using clock = std::chrono::steady_clock;

    static constexpr std::chrono::milliseconds connect_timeout{250};
    static constexpr std::chrono::milliseconds min_reply_timeout{500};
    static constexpr std::chrono::milliseconds max_reply_timeout{2500};
    /// Time during which a path is avoided after its first failure.
    static constexpr std::chrono::milliseconds initial_backoff{1000};
    /// Upper bound of a path's backoff, which doubles with each further failure.
    static constexpr std::chrono::milliseconds max_backoff{4000};
    static constexpr std::size_t max_paths_per_call = 3;

    /// Constructs the paths to the store at the address `store` (IP:port). Precondition: `pool` outlives this
    /// object.
    store_paths(connection_pool& pool, std::string store, event_sink_function log);

    /// Replaces the store's address (IP:port).
    void set_store(const std::string& store) { store_ = store; }

    /// Replaces the list of relays (IP:port), which are in the order of preference.
    void set_relays(std::vector<std::string> relays);
    const std::vector<std::string>& relays() const { return relays_; }

    /// Sends `request` over the paths one after another until one replies, and returns that reply. After a
    /// call that failed over all paths, the next calls try only one path each. `extra_wait` is the additional
    /// time that the store may hold back its reply, as for a long poll. Stores in `arrival` how the reply
    /// arrived, unless it is null. A reply whose body exceeds `max_bytes` is not read: the call fails with
    /// `reply_too_large`, which says nothing against the path.
    task<result<text_reply>> call(text_request request, call_urgency urgency,
                                  std::chrono::milliseconds extra_wait = std::chrono::milliseconds(0),
                                  reply_arrival* arrival = nullptr, std::size_t max_bytes = max_reply_bytes);

    /// Returns whether the last call failed over all paths that it tried.
    bool all_paths_failed() const { return all_failed_; }

private:
    struct path_state {
        clock::time_point backoff_until{};    ///< Time from which the path may be retried.
        std::chrono::milliseconds backoff{0}; ///< Length of the current backoff.
    };

    std::vector<std::string> order_paths(call_urgency urgency, clock::time_point now) const;
    void note_success(const std::string& path);
    void note_failure(const std::string& path, const std::string& error, clock::time_point now);
    bool is_backing_off(const std::string& path, clock::time_point now) const;

    connection_pool& pool_;
    std::string store_;
    event_sink_function log_;
    std::vector<std::string> relays_;
    std::map<std::string, path_state> failed_; ///< Paths whose last call failed, by address.
    /// Longest wait for a reply. It doubles when a call fails over all paths and shrinks with each success.
    std::chrono::milliseconds reply_timeout_ = min_reply_timeout;
    bool all_failed_ = false;
};

} // namespace eelgrassgw

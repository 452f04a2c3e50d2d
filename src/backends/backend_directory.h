#pragma once

/// Keeps track of the backend servers in the platform's list.

#include "backends/backend_server.h"
#include "limits/request_limit.h"
#include "load/read_parts.h"
#include "load/server_speed.h"
#include "store/store_objects.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A backend server together with its load and state as this process knows them.
struct tracked_backend {
    using clock = std::chrono::steady_clock;

    backend_server server;
    store_position position;  ///< Position of the list entry that `server` was read from.
    int running_requests = 0; ///< Number of requests of this process that the server is running.

    /// Prompt tokens of those requests that have not received their first event.
    std::int64_t unread_tokens = 0;

    /// Until this time the server is chosen only if no other one is available.
    clock::time_point avoid_until{};

    /// Whether the server stated in an answer that it is leaving. Only a new incarnation of it gets requests
    /// again.
    bool leaving = false;

    /// Until this time the server wants no requests from this process.
    clock::time_point paused_until{};

    /// Limit that the server has named on the requests of all routers together.
    request_limit limit;

    /// Largest number of tokens that those requests can hold in the server's memory.
    std::int64_t held_tokens = 0;

    server_speed speed;                ///< Speed as this process has measured it.
    eelgrassgw::read_parts read_parts; ///< Shared prompt parts that the server has read.

    /// Time of the last byte from the server, or of the first request if it was idle before.
    clock::time_point last_heard_at{};

    /// Time at which the entry vanished while the list could not be read; unset if it is listed.
    clock::time_point missing_since{};

    bool removed = false; ///< Whether the server has been removed from the directory.

    /// Until this time an entry is not trusted that a restored store lists as ready, although the server was
    /// leaving or gone before the restore.
    clock::time_point doubted_until{};

    /// A long prompt that another router has sent to this server.
    struct announced_prompt {
        std::int64_t tokens = 0;

        /// Time after which the prompt is ignored even if no withdrawal arrived.
        clock::time_point expires_at{};
    };

    /// Announced prompts by sending router and notice number.
    std::map<std::string, announced_prompt> announced_prompts;

    /// Returns the number of prompt tokens that this server still has to read, as far as this process knows.
    std::int64_t known_unread_tokens(clock::time_point now) const;

    /// Time without a byte for any of its requests after which a busy server counts as silent. An engine that
    /// runs streams sends events every few hundredths of a second, so all of them stop at once only if its VM
    /// is paused or cut off. A very long prompt delays them for up to half a second.
    static constexpr std::chrono::milliseconds silence_threshold{1000};

    /// Returns whether this process may send the server a new request at `now`.
    bool accepts_requests(clock::time_point now) const {
        return !server.draining && !leaving && !removed && paused_until <= now && doubted_until <= now;
    }

    /// Returns the time until this process may send a request to a server that is ready; zero if it may at
    /// `now`.
    std::chrono::milliseconds time_until_accepting(clock::time_point now) const {
        const auto pause = std::chrono::ceil<std::chrono::milliseconds>(paused_until - now);
        return std::max({pause, limit.time_until_room(now), std::chrono::milliseconds(0)});
    }

    /// Returns whether the server has requests of this process and has sent nothing for any of them for a
    /// while. Such a server is chosen only if no other one is available.
    bool is_silent(clock::time_point now) const {
        return running_requests > 0 && now - last_heard_at > silence_threshold;
    }

    /// Counts a request that is sent to the server.
    void begin_request(clock::time_point now) {
        last_heard_at = running_requests == 0 ? now : last_heard_at;
        ++running_requests;
    }

    /// Returns whether the server's entry vanished while the list could not be read.
    bool is_missing() const { return missing_since != clock::time_point{}; }
};

/// Holds the backend servers of the platform's list. An entry is never replaced by an older revision of it.
/// After the store was restored from a copy, a server that was leaving or gone before stays out for a while.
/// Not thread-safe.
class backend_directory {
public:
    using clock = tracked_backend::clock;

    /// How long an entry is kept after it vanished while the list could not be read. A running server renews
    /// its entry within this time; otherwise the entry is removed.
    static constexpr std::chrono::milliseconds lapse_grace_period{1800};

    /// A backend server with the revision of its entry in the list.
    struct entry {
        backend_server server;
        store_position position;
    };

    /// Time for which a server that was leaving or gone before the store was restored gets no requests. The
    /// store drops the entries of ended servers after a few heartbeat intervals.
    static constexpr std::chrono::seconds restored_entry_doubt{10};

    /// Time for which the directory remembers servers that are gone.
    static constexpr std::chrono::seconds departed_retention{120};

    /// Replaces the directory's contents by a complete list. Entries that the list lacks are removed, or
    /// marked as missing if `after_outage` is true.
    void replace_all(const std::vector<entry>& listed, bool after_outage, clock::time_point now);

    /// Adds or updates one entry, unless a newer revision of it is known.
    void put(const entry& listed, clock::time_point now = clock::now());

    /// Handles the removal of an entry from the list, or an entry that has become unreadable.
    void remove(const std::string& id, const store_position& position, bool after_outage,
                clock::time_point now);

    /// Removes the missing entries whose grace period has ended. Returns the number of removed entries.
    std::size_t remove_lapsed(clock::time_point now);

    /// Returns the server with the given id, or null if there is none.
    std::shared_ptr<tracked_backend> find(const std::string& id) const;

    /// Returns the servers of a service that accept new requests, including those that asked for a pause.
    std::vector<std::shared_ptr<tracked_backend>> ready_servers(const std::string& service) const;

    /// Returns the time until the first ready server of the service may get a request; zero if one may now.
    /// Returns nothing if the service has no ready server.
    std::optional<std::chrono::milliseconds> time_until_accepting(const std::string& service,
                                                                  clock::time_point now) const;

    /// Returns all servers in the directory, including the draining ones.
    std::vector<std::shared_ptr<tracked_backend>> all() const;

    /// Returns whether the directory holds no servers.
    bool empty() const { return by_id_.empty(); }

private:
    /// The last state of a server that is gone.
    struct departed_server {
        std::int64_t started_ms = 0;
        std::uint64_t era = 0; ///< Era of the store in which it left.
        bool leaving = false;  ///< Whether it stated that it is leaving.
        request_limit limit;   ///< Limit that it named.
        clock::time_point departed_at{};
    };

    void erase_entry(const std::string& id, clock::time_point now);
    void apply_departure(tracked_backend& tracked, const entry& listed, clock::time_point now) const;

    std::map<std::string, departed_server> departed_;
    std::map<std::string, std::shared_ptr<tracked_backend>> by_id_;
};

} // namespace eelgrassgw

#pragma once

/// Keeps track of the backend servers in the platform's list.

#include "backends/backend_server.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A backend server together with its load and state as this process knows them.
struct tracked_backend {
    using clock = std::chrono::steady_clock;

    backend_server server;
    std::uint64_t revision = 0; ///< Revision of the list entry that `server` was read from.
    int running_requests = 0;   ///< Number of requests of this process that the server is running.

    /// Prompt tokens of those requests that have not received their first event.
    std::int64_t unread_tokens = 0;

    /// Until this time the server is chosen only if no other one is available.
    clock::time_point avoid_until{};

    /// Time at which the entry vanished while the list could not be read; unset if it is listed.
    clock::time_point missing_since{};

    bool removed = false; ///< Whether the server has been removed from the directory.

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

    /// Returns whether the server's entry vanished while the list could not be read.
    bool is_missing() const { return missing_since != clock::time_point{}; }
};

/// Holds the backend servers of the platform's list. An entry is never replaced by an older revision of it.
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
        std::uint64_t revision = 0;
    };

    /// Replaces the directory's contents by a complete list. Entries that the list lacks are removed, or
    /// marked as missing if `after_outage` is true.
    void replace_all(const std::vector<entry>& listed, bool after_outage, clock::time_point now);

    /// Adds or updates one entry, unless a newer revision of it is known.
    void put(const entry& listed);

    /// Handles the removal of an entry from the list, or an entry that has become unreadable.
    void remove(const std::string& id, std::uint64_t revision, bool after_outage, clock::time_point now);

    /// Removes the missing entries whose grace period has ended. Returns the number of removed entries.
    std::size_t remove_lapsed(clock::time_point now);

    /// Returns the server with the given id, or null if there is none.
    std::shared_ptr<tracked_backend> find(const std::string& id) const;

    /// Returns the servers of a service that accept new requests.
    std::vector<std::shared_ptr<tracked_backend>> ready_servers(const std::string& service) const;

    /// Returns all servers in the directory, including the draining ones.
    std::vector<std::shared_ptr<tracked_backend>> all() const;

    /// Returns whether the directory holds no servers.
    bool empty() const { return by_id_.empty(); }

private:
    void erase_entry(const std::string& id);

    std::map<std::string, std::shared_ptr<tracked_backend>> by_id_;
};

} // namespace eelgrassgw

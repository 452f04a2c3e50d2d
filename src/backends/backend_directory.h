#pragma once

/// The backend servers that may get new work, followed from the platform's list.

#include "backends/backend_server.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassgw {

/// A backend server with what this process has seen of it.
struct tracked_backend {
    using clock = std::chrono::steady_clock;

    backend_server server;
    std::uint64_t revision = 0;        ///< Of the entry that `server` was read from.
    int running = 0;                   ///< Requests that this process has there now.
    std::int64_t unread_tokens = 0;    ///< Prompt tokens of those whose first event has not come yet.
    clock::time_point avoid_until{};   ///< Chosen before then only where there is no other.
    clock::time_point missing_since{}; ///< When its entry vanished while the list was not readable.
    bool removed = false;              ///< No longer in the directory.

    /// A long prompt that another router has sent there.
    struct foreign_prompt {
        std::int64_t tokens = 0;
        clock::time_point forget_at{}; ///< For the case that its end is never told.
    };
    std::map<std::string, foreign_prompt> foreign_prompts; ///< By router and number.

    /// Prompt tokens that this server has yet to read, as far as this process knows.
    std::int64_t known_unread_tokens(clock::time_point now) const;

    bool missing() const { return missing_since != clock::time_point{}; }
};

/// Entries never go back to an older revision. Not thread-safe.
class backend_directory {
public:
    using clock = tracked_backend::clock;

    /// An entry that vanished while the list could not be read counts as lapsed for this long, since a living
    /// server renews it; after that it is gone.
    static constexpr std::chrono::milliseconds lapse_grace{1800};

    struct entry {
        backend_server server;
        std::uint64_t revision = 0;
    };

    /// Takes a whole list in. Entries that are not in it are removed, or count as lapsed where
    /// `after_outage`.
    void replace_all(const std::vector<entry>& listed, bool after_outage, clock::time_point now);

    /// Takes one entry in, unless a newer one is known.
    void put(const entry& listed);

    /// An entry was removed, or can no longer be read.
    void remove(const std::string& id, std::uint64_t revision, bool after_outage, clock::time_point now);

    /// Removes lapsed entries whose grace is over. Returns how many.
    std::size_t drop_lapsed(clock::time_point now);

    /// The server `id`, or null.
    std::shared_ptr<tracked_backend> find(const std::string& id) const;

    /// The servers of a service that may get new work.
    std::vector<std::shared_ptr<tracked_backend>> ready_in(const std::string& service) const;

    /// All servers in the directory, draining ones included.
    std::vector<std::shared_ptr<tracked_backend>> all() const;

    bool empty() const { return by_id_.empty(); }

private:
    void drop(const std::string& id);

    std::map<std::string, std::shared_ptr<tracked_backend>> by_id_;
};

} // namespace eelgrassgw

#pragma once

/// Divides the requests that a cold server takes among the routers.

#include "budgets/fleet_membership.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassgw {

/// Room for one request at a cold server, which is kept while the request waits for a connection. Gives the
/// room back when it is destroyed unused. Movable only.
class cold_permit {
public:
    cold_permit() = default;
    cold_permit(cold_permit&& other) noexcept { swap(other); }
    cold_permit& operator=(cold_permit&& other) noexcept {
        swap(other);
        return *this;
    }
    cold_permit(const cold_permit&) = delete;
    cold_permit& operator=(const cold_permit&) = delete;
    ~cold_permit() { release(); }

    /// Returns whether this holds room at a server.
    explicit operator bool() const { return permits_ != nullptr; }

    /// Gives the room back.
    void release() {
        if (permits_ != nullptr) {
            --*permits_;
            permits_.reset();
        }
    }

private:
    friend class cold_shares;
    cold_permit(std::shared_ptr<int> permits, std::string server)
        : permits_(std::move(permits)), server_(std::move(server)) {
        ++*permits_;
    }
    void swap(cold_permit& other) noexcept {
        std::swap(permits_, other.permits_);
        std::swap(server_, other.server_);
    }

    std::shared_ptr<int> permits_; ///< Number of permits for the server.
    std::string server_;
};

/// Each cold server has as many shares as it takes requests a second. A share is owned by one router, which
/// sends at most one request with it in any second. The owner follows by rendezvous hashing from the list of
/// routers in the ledger, so no message and no further store call is needed.
///
/// All routers together never exceed the rate, whatever they know of each other, because a share has at most
/// one user at a time:
/// - A router uses a share only if it was listed in the ledger, and only while both its reading of the list
///   and its own entry there are recent.
/// - A router that is not listed, has just started or is cut off from the store owns nothing.
/// - A share that changes its owner rests until every list that named the former owner has expired. The other
///   routers drop a silent one only after its own entry has become too old for it to send.
///
/// Only durations by the router's own steady clock count, apart from the ledger's bound on silent routers.
/// Not thread-safe.
class cold_shares {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    /// Time in which a share serves one request.
    static constexpr milliseconds window{1000};
    /// Allows for a relay's cached ledger (40 ms) and for requests on their way to the server.
    static constexpr milliseconds margin{250};
    /// Age up to which a reading of the routers counts.
    static constexpr milliseconds reading_lifetime{2000};
    /// Time for which a router's own entry in the ledger counts. Others drop it after the ledger's active
    /// window of 10 s; the rest allows for clocks that differ between those who write to the ledger.
    static constexpr milliseconds entry_lifetime{8000};
    /// Time for which a share rests after it has changed its owner.
    static constexpr milliseconds rest_time = reading_lifetime + window + margin;
    /// Time for which all shares rest after the store was restored from a copy, which may lack routers.
    static constexpr milliseconds restored_rest_time = entry_lifetime + window + margin;

    /// Notes a reading of the routers.
    void set_membership(const fleet_membership& membership, clock::time_point now);

    /// Notes a request that was sent to a server which was not known to be cold.
    void note_unlimited_send(const std::string& server, clock::time_point now);

    /// Returns the time until this router may send a request to a cold server that takes `rate` requests a
    /// second; nothing if that cannot be foreseen.
    std::optional<milliseconds> time_until_room(const std::string& server, double rate,
                                                clock::time_point now);

    /// Takes room for a request; the result is empty if there is none.
    cold_permit take(const std::string& server, double rate, clock::time_point now);

    /// Turns room into a request that is sent at `now`. Returns false if the room is gone: the share may have
    /// changed its owner meanwhile. The permit is empty afterwards.
    bool use(cold_permit& permit, double rate, clock::time_point now);

    /// Forgets servers that got no request for a while.
    void remove_old(clock::time_point now);

private:
    /// A server that is or may become cold.
    struct server_state {
        std::vector<std::optional<clock::time_point>> owned_since; ///< By share; nothing if not owned.
        std::uint64_t division = 0;                                ///< Value of `division_` at that time.
        std::deque<clock::time_point> sends; ///< Requests of this router within the last window.
        std::shared_ptr<int> permits = std::make_shared<int>(0); ///< Room that is taken and not used yet.
        clock::time_point blocked_until{}; ///< End of the window of the last unlimited request.
        clock::time_point last_used_at{};
    };

    bool may_use_shares(clock::time_point now) const;
    server_state& state_of(const std::string& server, double rate, clock::time_point now);
    void divide(server_state& state, const std::string& server, std::size_t share_count);
    int usable_shares(const server_state& state, clock::time_point now) const;
    bool has_room(const server_state& state, int extra, clock::time_point now) const;

    fleet_membership membership_;
    std::vector<std::uint64_t> router_hashes_; ///< Hashes of the membership's routers, in the same order.
    std::uint64_t division_ = 0;               ///< Number of changes of the routers.
    clock::time_point divided_at_{};           ///< Time of the last change.
    clock::time_point resting_until_{};        ///< No share is used before.
    std::map<std::string, server_state> by_server_;
};

} // namespace eelgrassgw

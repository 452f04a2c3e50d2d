#pragma once

/// Decides what a router may still say by its configuration once it knows of a newer version.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace eelgrassgw {

/// Knows the versions that are newer than the one in force here, from other routers at which they are in
/// force. While there is one, what this router's version lacks may exist, so neither a route nor a key nor a
/// budget is denied. Once the first of them has been known for too long, requests are not served by the older
/// version either. Not thread-safe.
class configuration_freshness {
public:
    using clock = std::chrono::steady_clock;

    /// Largest number of newer versions that are remembered. Beyond that, the first ones suffice.
    static constexpr std::size_t max_known_versions = 64;

    /// Sets the longest time from the acknowledgement of a version until it is in force everywhere; 0 for no
    /// limit. Other routers tell of a version a little after its acknowledgement, so requests are served by
    /// an older one for three quarters of that time.
    void set_limit(std::chrono::milliseconds limit) { limit_ = limit; }

    /// Notes a version that is in force at another router. Returns whether it is newer than those known.
    bool note_elsewhere(std::uint64_t version, clock::time_point now);

    /// Notes the version that is in force here from now on.
    void note_in_force(std::uint64_t version);

    /// Notes that the newest version in the store has been applied, as it was read at `begun_at` or later.
    /// A version that was known before is either in force now or does not exist in the store.
    void note_store_read(clock::time_point begun_at);

    /// Returns whether a newer version than the one in force is known.
    bool is_superseded() const { return !newer_versions_.empty(); }

    /// Returns whether requests must no longer be served by the version in force.
    bool is_outdated(clock::time_point now) const;

private:
    std::chrono::milliseconds limit_{0};
    std::uint64_t in_force_ = 0;
    std::map<std::uint64_t, clock::time_point> newer_versions_; ///< When each was heard of first.
};

} // namespace eelgrassgw

#pragma once

/// Remembers the requests that may run only once and are in progress or may have been run.

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace eelgrassgw {

/// Remembers, for a while, the ids of requests that may run only once, from the moment at which this process
/// accepts them, as they may be sent to a server at any time from then on. So a caller that repeats a request
/// with the same id neither has it run again nor is told that it will not run. Knows the requests of this
/// process only. Not thread-safe.
class unrepeatable_requests {
public:
    using clock = std::chrono::steady_clock;

    /// Time for which a request is remembered.
    static constexpr std::chrono::minutes retention{10};
    /// Largest number of requests that are remembered. Beyond it the oldest one is forgotten.
    static constexpr std::size_t max_requests = 100'000;

    /// Remembers the request `id`, which is accepted. Returns false if it is remembered already.
    bool insert(const std::string& id, clock::time_point now);

    /// Forgets the request `id`, because it has ended and is proved not to have run.
    void erase(const std::string& id);

    /// Returns whether the request `id` is remembered.
    bool contains(const std::string& id) const;

    /// Returns the number of requests that are remembered.
    std::size_t size() const { return accepted_at_.size(); }

private:
    struct entry {
        std::uint64_t id_hash = 0;
        clock::time_point accepted_at{};
    };

    void remove_old(clock::time_point now);
    void remove_oldest();

    std::unordered_map<std::uint64_t, clock::time_point> accepted_at_; ///< Time by the id's hash.
    std::deque<entry> by_age_; ///< The same, oldest first; also entries that were erased since.
};

} // namespace eelgrassgw

#pragma once

/// Remembers for a while where streams began.

#include "streams/stream_origin.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace eelgrassgw {

/// Origins by the id of the request that brought a stream's first event. Bounded in number and in age. Not
/// thread-safe.
class origin_memory {
public:
    using clock = std::chrono::steady_clock;

    /// Time for which an origin is remembered after it was last told. Callers give a stream up long before.
    static constexpr std::chrono::seconds retention{60};
    /// Largest number of origins; beyond it, those told longest ago are forgotten.
    static constexpr std::size_t max_streams = 50000;

    /// Remembers an origin for `retention` from `now` on. A known one stays as it is: a stream begins once.
    void put(const std::string& stream, const stream_origin& origin, clock::time_point now);

    /// Forgets a stream.
    void erase(const std::string& stream) { known_.erase(stream); }

    /// Returns what is known of a stream; nothing if that is nothing.
    std::optional<origin_record> find(const std::string& stream, clock::time_point now) const;

    std::size_t size() const { return known_.size(); }

private:
    struct known_origin {
        stream_origin origin;
        clock::time_point told_at{};
        std::uint64_t number = 0; ///< Tells its last entry in `in_order_` from earlier ones.
    };
    struct told_stream {
        std::string stream;
        clock::time_point told_at{};
        std::uint64_t number = 0;
    };

    void forget_old(clock::time_point now);

    std::unordered_map<std::string, known_origin> known_;
    std::deque<told_stream> in_order_; ///< Each time that a stream was told, the oldest first.
    std::uint64_t next_number_ = 0;
};

} // namespace eelgrassgw

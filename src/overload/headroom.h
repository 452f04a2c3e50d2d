#pragma once

/// Decides from measurements whether a process is short of one of its resources.

#include <array>
#include <cstddef>
#include <string>

namespace eelgrassgw {

/// A resource whose use is measured.
enum class resource_kind { processor, link, descriptors, memory };

/// Returns the name of a resource in the log.
const char* name_of(resource_kind resource);

/// Parts of the stated resources that are in use: 1 is all of a resource. A resource whose limit is not
/// stated has the value 0.
struct resource_use {
    static constexpr std::size_t kind_count = 4;

    double& operator[](resource_kind resource) { return parts.at(static_cast<std::size_t>(resource)); }
    double operator[](resource_kind resource) const { return parts.at(static_cast<std::size_t>(resource)); }

    std::array<double, kind_count> parts{};
};

/// Turns measurements into a state. Each threshold to enter a state is above the one to leave it, so that a
/// use that varies a little does not change the state at every measurement. Not thread-safe.
class headroom {
public:
    /// Use from which a resource counts as full, and use below which it has room again.
    static constexpr double full_use = 0.9;
    static constexpr double room_use = 0.75;
    /// Use of the processor from which it counts as short, and use below which it no longer does. Coalescing
    /// events roughly halves the use, which must not end the state that causes it.
    static constexpr double short_use = 0.6;
    static constexpr double ample_use = 0.3;
    /// Weight of a new measurement against the earlier ones. Two measurements above the threshold in a row
    /// make an idle resource full, a single one does not.
    static constexpr double newest_weight = 0.7;

    /// Takes a measurement into account. Returns whether `is_full()` has changed.
    bool note(const resource_use& measured);

    /// Returns whether any resource is full.
    bool is_full() const { return full_; }

    /// Returns whether processor time is short.
    bool is_processor_short() const { return processor_short_; }

    /// Returns the resource of which the largest part is in use.
    resource_kind fullest() const;

    /// Returns the smoothed use of a resource.
    double use_of(resource_kind resource) const { return smoothed_[resource]; }

private:
    resource_use smoothed_;
    bool full_ = false;
    bool processor_short_ = false;
};

} // namespace eelgrassgw

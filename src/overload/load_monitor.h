#pragma once

/// Measures the load of this process and tells what follows from it for callers' requests.

#include "base/event_sink.h"
#include "eelgrassgw/metrics/metrics.h"
#include "gateway/vm_resources.h"
#include "overload/deferred_queue.h"
#include "overload/headroom.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace eelgrassgw {

/// Measures processor time, memory, descriptors, forwarded bytes and the delay of callers' work against what
/// the settings state of the VM. Does nothing with a resource whose limit is not stated. Not thread-safe.
class load_monitor {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    /// Descriptors that the platform and the process itself need beside those of callers.
    static constexpr std::size_t reserved_descriptors = 200;
    /// Number of times that a request waits for its turn in the event loop until its answer begins: for the
    /// connection to the server, for the write, for the head and for the first event.
    static constexpr int waits_per_request = 4;

    /// Precondition: `context` and `metrics` outlive this object.
    load_monitor(asio::io_context& context, metrics_registry& metrics, event_sink_function log);

    /// Sets the limits, against which the next measurement counts. `event_delay_limit` is the longest time
    /// that an event may spend in this process; 0 if it is not stated.
    void set_limits(const vm_resources& limits, milliseconds event_delay_limit);

    /// Counts bytes that were received from a server and sent to a caller, or the other way.
    void count_forwarded_bytes(std::size_t bytes) { forwarded_bytes_ += bytes; }

    /// Takes a measurement, sets the metrics, and logs when the process becomes full or has room again. Must
    /// be called regularly, less often than every 100 ms.
    void measure(std::size_t open_descriptors);

    /// Returns when a stream whose events have just been forwarded is to be read again; nothing if at once.
    std::optional<clock::time_point> next_stream_read(clock::time_point now) const;

    /// Returns whether a request that has just arrived would wait in the event loop for longer than
    /// `objective`, and processor time is short.
    bool would_wait_too_long(milliseconds objective) const;

    /// Returns how long callers' work that is added now is likely to wait in the event loop.
    clock::duration callers_delay() const { return callers_work_.delay(clock::now()); }

    const headroom& state() const { return headroom_; }

private:
    resource_use measure_use(std::size_t open_descriptors, clock::time_point now);

    deferred_queue& callers_work_;
    metrics_registry& metrics_;
    event_sink_function log_;
    vm_resources limits_;
    milliseconds event_delay_limit_{0};
    headroom headroom_;
    clock::time_point measured_at_ = clock::now();
    std::chrono::nanoseconds processor_time_{0}; ///< Processor time of the process at that time.
    std::uint64_t forwarded_bytes_ = 0;          ///< Bytes since that time.
};

} // namespace eelgrassgw

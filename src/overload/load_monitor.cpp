#include "overload/load_monitor.h"

#include "overload/event_coalescing.h"

#include <unistd.h>

#include <ctime>
#include <fstream>
#include <utility>

namespace eelgrassgw {

namespace {

constexpr double bytes_per_megabyte = 1 << 20;
constexpr double bits_per_megabit = 1e6;
constexpr double bits_per_byte = 8;
// A forwarded byte passes the link twice.
constexpr double passes_per_forwarded_byte = 2;

std::chrono::nanoseconds read_processor_time() {
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

/// Returns the resident memory of this process in megabytes; 0 if it cannot be read.
double read_memory_mb() {
    std::ifstream file("/proc/self/statm");
    double total_pages = 0;
    double resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * double(sysconf(_SC_PAGESIZE)) / bytes_per_megabyte;
}

double part_of(double used, double limit) {
    return limit > 0 ? used / limit : 0;
}

} // namespace

load_monitor::load_monitor(asio::io_context& context, metrics_registry& metrics, event_sink_function log)
    : callers_work_(deferred_queue::of(context)), metrics_(metrics), log_(std::move(log)),
      processor_time_(read_processor_time()) {}

void load_monitor::set_limits(const vm_resources& limits, milliseconds event_delay_limit) {
    limits_ = limits;
    event_delay_limit_ = event_delay_limit;
}

resource_use load_monitor::measure_use(std::size_t open_descriptors, clock::time_point now) {
    const double seconds = std::chrono::duration<double>(now - measured_at_).count();
    const std::chrono::nanoseconds processor_time = read_processor_time();
    const double processor_seconds = std::chrono::duration<double>(processor_time - processor_time_).count();
    const double link_bits = double(forwarded_bytes_) * bits_per_byte * passes_per_forwarded_byte;
    const double usable_descriptors = double(limits_.max_descriptors) - double(reserved_descriptors);
    resource_use use;
    use[resource_kind::processor] = part_of(processor_seconds, seconds * limits_.processor_share);
    use[resource_kind::link] = part_of(link_bits, seconds * limits_.link_mbps * bits_per_megabit);
    use[resource_kind::descriptors] = part_of(double(open_descriptors), usable_descriptors);
    use[resource_kind::memory] =
        limits_.memory_mb > 0 ? part_of(read_memory_mb(), double(limits_.memory_mb)) : 0;
    measured_at_ = now;
    processor_time_ = processor_time;
    forwarded_bytes_ = 0;
    return use;
}

void load_monitor::measure(std::size_t open_descriptors) {
    const bool changed = headroom_.note(measure_use(open_descriptors, clock::now()));
    const double delay_ms = std::chrono::duration<double, std::milli>(callers_work_.take_max_delay()).count();
    metrics_.set("event_loop_delay_ms", delay_ms);
    metrics_.set("processor_use", headroom_.use_of(resource_kind::processor));
    if (changed) {
        Json::Value fields;
        fields["resource"] = name_of(headroom_.fullest());
        fields["use"] = headroom_.use_of(headroom_.fullest());
        fields["event_loop_delay_ms"] = delay_ms;
        log_(headroom_.is_full() ? "router_full" : "router_has_room", std::move(fields));
    }
}

std::optional<load_monitor::clock::time_point> load_monitor::next_stream_read(clock::time_point now) const {
    const milliseconds window = coalescing_window(event_delay_limit_);
    // Events that already wait in the event loop for that long are collected in their sockets meanwhile.
    const bool waits_anyway = callers_work_.delay(now) >= window;
    if (!headroom_.is_processor_short() || window <= milliseconds(0) || waits_anyway) {
        return std::nullopt;
    }
    return next_read_time(now, window);
}

bool load_monitor::would_wait_too_long(milliseconds objective) const {
    return headroom_.is_processor_short() &&
           callers_work_.delay(clock::now()) * waits_per_request > objective;
}

} // namespace eelgrassgw

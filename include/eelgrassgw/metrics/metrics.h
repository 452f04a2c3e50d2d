#pragma once

/// Counters, gauges and latency histograms of one process in the Prometheus text format.

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Registers metrics on first use and collects their values. Thread-safe.
/// Example: `metrics.count("refusals", {{"code", "budget_exhausted"}});`
class metrics_registry {
public:
    using labels = std::map<std::string, std::string>;

    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// Adds `amount` to the counter "eelgrassgw_<name>_total".
    void count(const std::string& name, const labels& label_set = {}, double amount = 1);

    /// Sets the gauge "eelgrassgw_<name>" to `value`.
    void set(const std::string& name, double value, const labels& label_set = {});

    /// Adds `duration` to the histogram "eelgrassgw_<name>_seconds".
    void observe(const std::string& name, std::chrono::milliseconds duration, const labels& label_set = {});

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace eelgrassgw

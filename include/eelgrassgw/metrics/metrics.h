#pragma once

/// Counters, gauges and latency histograms of one process, served in the Prometheus text format.

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Thread-safe. Example: `metrics.count("refusals", {{"code", "budget_exhausted"}});`
class metrics_registry {
public:
    using labels = std::map<std::string, std::string>;

    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// Adds `amount` to the counter `name`, which gets the prefix "eelgrassgw_".
    void count(const std::string& name, const labels& with = {}, double amount = 1);

    /// Sets the gauge `name`.
    void set(const std::string& name, double value, const labels& with = {});

    /// Adds one duration to the histogram `name`, in seconds.
    void observe(const std::string& name, std::chrono::milliseconds duration, const labels& with = {});

    /// All metrics in the text format.
    std::string text() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace eelgrassgw

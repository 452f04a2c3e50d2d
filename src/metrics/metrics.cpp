#include "eelgrassgw/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace eelgrassgw {

namespace {

std::string full_name(const std::string& name) {
    return "eelgrassgw_" + name;
}

} // namespace

class metrics_registry::impl {
public:
    prometheus::Registry registry;
};

metrics_registry::metrics_registry() : impl_(std::make_unique<impl>()) {}

metrics_registry::~metrics_registry() = default;

void metrics_registry::count(const std::string& name, const labels& label_set, double amount) {
    prometheus::BuildCounter()
        .Name(full_name(name + "_total"))
        .Register(impl_->registry)
        .Add(label_set)
        .Increment(amount);
}

void metrics_registry::set(const std::string& name, double value, const labels& label_set) {
    prometheus::BuildGauge().Name(full_name(name)).Register(impl_->registry).Add(label_set).Set(value);
}

void metrics_registry::observe(const std::string& name, std::chrono::milliseconds duration,
                               const labels& label_set) {
    const prometheus::Histogram::BucketBoundaries bucket_bounds_seconds{0.01, 0.025, 0.05, 0.1, 0.2, 0.4,
                                                                        0.6,  1,     2,    4,   8,   16};
    prometheus::BuildHistogram()
        .Name(full_name(name + "_seconds"))
        .Register(impl_->registry)
        .Add(label_set, bucket_bounds_seconds)
        .Observe(std::chrono::duration<double>(duration).count());
}

std::string metrics_registry::text() const {
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace eelgrassgw

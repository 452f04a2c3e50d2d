#include "eelgrassgw/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
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

void metrics_registry::count(const std::string& name, const labels& with, double amount) {
    prometheus::BuildCounter()
        .Name(full_name(name + "_total"))
        .Register(impl_->registry)
        .Add(with)
        .Increment(amount);
}

void metrics_registry::set(const std::string& name, double value, const labels& with) {
    prometheus::BuildGauge().Name(full_name(name)).Register(impl_->registry).Add(with).Set(value);
}

std::string metrics_registry::text() const {
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace eelgrassgw

#include "routes/fleet_configuration.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace eelgrassgw {

namespace {

std::string route_key(const std::string& host, std::string_view prefix) {
    return host + "\n" + std::string(prefix);
}

} // namespace

std::string normalize_host(std::string_view host) {
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

const route* fleet_configuration::find_route(std::string_view host, std::string_view path) const {
    const std::string name = normalize_host(host);
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto it = routes_.find(route_key(name, path.substr(0, end + 1)));
        if (it != routes_.end()) {
            return it->second.get();
        }
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

const customer* fleet_configuration::find_customer_by_key(const std::string& key) const {
    const auto it = customer_of_key_.find(key);
    return it == customer_of_key_.end() ? nullptr : find_customer(it->second);
}

const customer* fleet_configuration::find_customer(const std::string& name) const {
    const auto it = customers_.find(name);
    return it == customers_.end() ? nullptr : it->second.get();
}

const service_definition& fleet_configuration::find_service(const std::string& name) const {
    const auto it = services_.find(name);
    return it == services_.end() ? default_service_ : it->second;
}

std::chrono::milliseconds fleet_configuration::shortest_event_gap(const std::string& service) const {
    const auto it = event_gaps_.find(service);
    return it == event_gaps_.end() ? std::chrono::milliseconds(0) : it->second;
}

fleet_configuration::builder::builder(std::uint64_t version)
    : built_(std::make_shared<fleet_configuration>()) {
    built_->version_ = version;
}

fleet_configuration::builder& fleet_configuration::builder::add(route added) {
    added.host = normalize_host(added.host);
    return add(std::make_shared<const route>(std::move(added)));
}

fleet_configuration::builder& fleet_configuration::builder::add(std::shared_ptr<const route> added) {
    if (added->max_event_gap > std::chrono::milliseconds(0)) {
        for (const weighted_service& each : added->services) {
            const auto [it, is_new] = built_->event_gaps_.try_emplace(each.service, added->max_event_gap);
            it->second = std::min(it->second, added->max_event_gap);
        }
    }
    std::string key = route_key(added->host, added->path_prefix);
    built_->routes_[std::move(key)] = std::move(added);
    return *this;
}

fleet_configuration::builder& fleet_configuration::builder::add(customer added) {
    return add(std::make_shared<const customer>(std::move(added)));
}

fleet_configuration::builder& fleet_configuration::builder::add(std::shared_ptr<const customer> added) {
    for (const std::string& key : added->api_keys) {
        built_->customer_of_key_[key] = added->name;
    }
    built_->customers_[added->name] = std::move(added);
    return *this;
}

fleet_configuration::builder& fleet_configuration::builder::add(service_definition added) {
    built_->services_[added.name] = std::move(added);
    return *this;
}

fleet_configuration::builder& fleet_configuration::builder::set(const caller_limits& limits) {
    built_->limits_ = limits;
    return *this;
}

std::shared_ptr<const fleet_configuration> fleet_configuration::builder::build() {
    return std::exchange(built_, nullptr);
}

const std::string& choose_service(const route& r, std::uint64_t random) {
    std::uint64_t total_weight = 0;
    for (const weighted_service& each : r.services) {
        total_weight += each.weight;
    }
    if (total_weight == 0) {
        return r.services.front().service;
    }
    std::uint64_t remainder = random % total_weight;
    for (const weighted_service& each : r.services) {
        if (remainder < each.weight) {
            return each.service;
        }
        remainder -= each.weight;
    }
    return r.services.back().service;
}

} // namespace eelgrassgw

#pragma once

/// One version of the operator's configuration, indexed for look-ups.

#include "eelgrassgw/base/json.h"
#include "routes/route.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrassgw {

/// A customer with its keys and what it has paid for.
struct customer {
    std::string name;
    std::vector<std::string> api_keys;
    std::optional<int> priority;   ///< Goes before the route's priority.
    std::optional<tokens> prepaid; ///< All it may ever use; absent: no limit.
};

/// What a service's backend servers have in common.
struct service_definition {
    std::string name;
    bool runs_models = false;
    int max_connections = 0;      ///< Of all callers of one backend server; 0: not stated.
    int max_tokens_per_event = 1; ///< Tokens that one event of a stream may hold.
};

/// What a caller may send, and how long it may take.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// Immutable after construction; all methods are thread-safe.
class fleet_configuration {
public:
    class builder;

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    bool has_customers() const { return !customers_.empty(); }

    /// The route with the longest prefix that begins `path`, or null. `host` may have a port.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// The holder of `key`, or null.
    const customer* find_customer_by_key(const std::string& key) const;

    /// The customer `name`, or null.
    const customer* find_customer(const std::string& name) const;

    /// The definition of a service; defaults where the configuration has none.
    const service_definition& find_service(const std::string& name) const;

private:
    std::uint64_t version_ = 0;
    caller_limits limits_;
    std::unordered_map<std::string, route> routes_; ///< By host and prefix.
    std::map<std::string, customer> customers_;
    std::unordered_map<std::string, std::string> customer_of_key_;
    std::unordered_map<std::string, service_definition> services_;
    service_definition unknown_service_;
};

/// Builds a configuration step by step. Not thread-safe.
/// Example: `fleet_configuration::builder(7).add(route).add(customer).build()`.
class fleet_configuration::builder {
public:
    explicit builder(std::uint64_t version);

    /// Precondition: `added.services` is not empty.
    builder& add(route added);
    builder& add(customer added);
    builder& add(service_definition added);
    builder& set(const caller_limits& limits);

    std::shared_ptr<const fleet_configuration> build();

private:
    std::shared_ptr<fleet_configuration> built_;
};

/// Chooses one of the route's services by weight. `random` is any number; the same one gives the same
/// service.
const std::string& choose_service(const route& r, std::uint64_t random);

} // namespace eelgrassgw

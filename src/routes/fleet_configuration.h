#pragma once

/// Defines the operator's configuration of the fleet, with lookups by route, key, customer and service.

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

/// A customer with its API keys and its prepaid tokens.
struct customer {
    std::string name;
    std::vector<std::string> api_keys;
    std::optional<int> priority;   ///< Overrides the route's priority if present.
    std::optional<tokens> prepaid; ///< Total tokens that the customer may use; absent for no limit.

    /// Regions whose backend servers may run the customer's requests; empty if all may.
    std::vector<std::string> allowed_regions;
};

/// The properties that all backend servers of a service share.
struct service_definition {
    std::string name;
    bool runs_models = false; ///< Whether the service runs language models.
    int max_connections = 0;  ///< Limit on all callers' connections to one backend server; 0 if not stated.
    int max_tokens_per_event = 1; ///< Maximum number of tokens in one event of a stream.
    tokens kv_capacity = 0;       ///< Tokens that the memory of one model server holds; 0 if not stated.

    /// Time for which a server is cold after its start; 0 if servers are never cold.
    std::chrono::milliseconds warm_up_time{0};

    /// Requests per second that a cold server takes from all routers together; 0 if there is no limit.
    double max_cold_rate = 0;
};

/// Limits on the size and duration of a caller's requests.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    std::chrono::milliseconds header_timeout{3000}; ///< Time that a caller has to send a request's header.
    std::chrono::milliseconds idle_timeout{15000};  ///< Time after which an idle connection is closed.
};

/// One version of the configuration. It is immutable after construction, and all methods are thread-safe.
class fleet_configuration {
public:
    class builder;

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    bool has_customers() const { return !customers_.empty(); }

    /// Returns the route of `host` with the longest matching prefix of `path`, or null if no route matches.
    /// `host` may include a port.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// Returns the customer that the API key `key` belongs to, or null if the key is unknown.
    const customer* find_customer_by_key(const std::string& key) const;

    /// Returns the customer with the given name, or null if there is none.
    const customer* find_customer(const std::string& name) const;

    /// Returns the definition of a service, or the default definition if the configuration has none.
    const service_definition& find_service(const std::string& name) const;

    /// Returns the shortest pause between two events that a route of the service allows; 0 if none states
    /// one.
    std::chrono::milliseconds shortest_event_gap(const std::string& service) const;

private:
    std::uint64_t version_ = 0;
    caller_limits limits_;
    /// Routes by host and prefix.
    std::unordered_map<std::string, std::shared_ptr<const route>> routes_;
    std::map<std::string, std::shared_ptr<const customer>> customers_;
    std::unordered_map<std::string, std::string> customer_of_key_; ///< Customer names by API key.
    std::unordered_map<std::string, service_definition> services_;
    std::unordered_map<std::string, std::chrono::milliseconds> event_gaps_; ///< Shortest ones by service.
    service_definition default_service_;
};

/// Builds a configuration step by step. Not thread-safe.
/// Example: `fleet_configuration::builder(7).add(route).add(customer).build()`.
class fleet_configuration::builder {
public:
    explicit builder(std::uint64_t version);

    /// Adds a route. Precondition: `added.services` is not empty.
    builder& add(route added);

    /// Adds a route that other configurations may share. Precondition: it is not null, `services` is not
    /// empty, and `host` is what `normalize_host` returns.
    builder& add(std::shared_ptr<const route> added);

    /// Adds a customer with its API keys.
    builder& add(customer added);

    /// Adds a customer that other configurations may share. Precondition: it is not null.
    builder& add(std::shared_ptr<const customer> added);

    /// Adds the definition of a service.
    builder& add(service_definition added);

    /// Sets the limits on callers' requests.
    builder& set(const caller_limits& limits);

    /// Returns the configuration. The builder must not be used afterwards.
    std::shared_ptr<const fleet_configuration> build();

private:
    std::shared_ptr<fleet_configuration> built_;
};

/// Returns a host name in lower case, without a port. Thread-safe.
std::string normalize_host(std::string_view host);

/// Chooses one of the route's services by weight. Equal values of `random` give the same service.
const std::string& choose_service(const route& r, std::uint64_t random);

} // namespace eelgrassgw

#pragma once

/// Decides which backend servers may get a request: evacuated data centres, cold servers and allowed regions.

#include "backends/backend_directory.h"
#include "base/event_sink.h"
#include "gateway/place_settings.h"
#include "places/cold_servers.h"
#include "places/cold_shares.h"
#include "places/evacuation_list.h"
#include "routes/fleet_configuration.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// What the rules need to know of a request. Precondition: the configuration outlives this object.
struct place_terms {
    const std::vector<std::string>* route_regions = nullptr;    ///< Null or empty if all are allowed.
    const std::vector<std::string>* customer_regions = nullptr; ///< Null or empty if all are allowed.
    const service_definition* service = nullptr;                ///< Never null when a rule is evaluated.
};

/// Returns the terms of a request. `customer` may be null.
place_terms make_place_terms(const route& route, const customer* customer, const service_definition& service);

/// Evaluates the rules without network access. The state comes from the store's lists, from answers and from
/// the ledger's list of routers. Not thread-safe.
class place_rules {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;
    using server_list = std::vector<std::shared_ptr<tracked_backend>>;

    /// Sets what the deployment states. To be called before any other method.
    void set_settings(const place_settings& settings, event_sink_function log);

    /// Returns whether requests may be sent at all: a router with evacuations must know them first.
    bool knows_evacuations() const { return !settings_.evacuation_limit || evacuations_.is_known(); }

    /// Returns the time between two lists of the evacuations.
    milliseconds evacuation_list_interval() const;

    const evacuation_list& evacuations() const { return evacuations_; }

    /// Notes the store's list of evacuations.
    void note_evacuations(const object_listing& all, clock::time_point now);

    /// Notes the evacuations that another router knows.
    void note_evacuations_known_elsewhere(const std::vector<std::string>& data_centres);

    /// Notes all entries of the store's list of backend servers.
    void note_servers(const std::vector<backend_directory::entry>& listed, clock::time_point now);

    /// Notes an entry of a backend server that is new or has changed.
    void note_server(const backend_directory::entry& changed, clock::time_point now);

    /// Notes that an answer of the server says for how long it stays cold.
    void note_cold_time(const backend_server& server, milliseconds cold_time_left, clock::time_point now);

    /// Notes the routers among which the requests to cold servers are divided.
    void note_membership(const fleet_membership& membership, clock::time_point now) {
        shares_.set_membership(membership, now);
    }

    /// Returns the servers that the request may ever be sent to as things are: not evacuated and in an
    /// allowed region. Cold servers are included.
    server_list allowed_servers(const server_list& servers, const place_terms& terms) const;

    /// Returns whether the server may get this request. Cold servers may.
    bool is_allowed(const backend_server& server, const place_terms& terms) const;

    /// Returns the servers that may get the request at `now`: `allowed_servers` without the cold ones that
    /// have no room. Adds the number of the latter to `kept_back`.
    server_list available_servers(const server_list& servers, const place_terms& terms, clock::time_point now,
                                  std::size_t& kept_back);

    /// Returns the time until the server may get the request; nothing if that cannot be foreseen.
    std::optional<milliseconds> time_until_allowed(const backend_server& server, const place_terms& terms,
                                                   clock::time_point now);

    /// Returns the time until the first of these servers may get the request, by its own state and by the
    /// rules; nothing if that cannot be foreseen.
    std::optional<milliseconds> time_until_available(const server_list& servers, const place_terms& terms,
                                                     clock::time_point now);

    /// Reserves the sending of a request to the server if it is cold, so that no other request takes the room
    /// while a connection is opened. `begin_send` decides.
    cold_permit reserve(const backend_server& server, const place_terms& terms, clock::time_point now);

    /// Evaluates all rules right before a request is sent, and counts it. Returns whether it may be sent.
    bool begin_send(const backend_server& server, const place_terms& terms, cold_permit& permit,
                    clock::time_point now);

    /// Returns the number of these servers that are cold.
    std::size_t cold_count(const server_list& servers, const fleet_configuration& configuration,
                           clock::time_point now) const;

private:
    bool is_cold(const backend_server& server, const service_definition& service,
                 clock::time_point now) const;
    void note_entry(const backend_directory::entry& entry, bool at_start, clock::time_point now);
    void log_cold_server(const backend_server& server, const char* why);
    bool is_in_region(const backend_server& server, const std::vector<std::string>* regions) const;
    void log_evacuations(const std::vector<evacuation_list::change>& changes);

    place_settings settings_;
    event_sink_function log_ = [](const char*, Json::Value) {
    };
    evacuation_list evacuations_;
    cold_servers cold_;
    cold_shares shares_;
    bool has_servers_ = false; ///< Whether the store's list of backend servers has been noted.
};

} // namespace eelgrassgw

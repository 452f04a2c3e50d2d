#pragma once

/// Reads the settings of the router and of the relay from JSON files.

#include "budgets/allowance_table.h"
#include "eelgrassgw/base/failure.h"
#include "gateway/place_settings.h"
#include "gateway/vm_resources.h"
#include "retries/retry_budget.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Settings of a router process. Addresses have the form IP:port.
struct gateway_settings {
    std::string name;
    std::string data_centre;
    std::string listen;           ///< Address for callers.
    std::string readiness_listen; ///< Address of the readiness check; empty if it is not served.
    std::string peer_listen;      ///< Address for other routers and relays; empty if they are not served.
    std::string notice_listen;    ///< Address for datagrams from other routers; if empty, none are exchanged.
    std::string metrics_listen;   ///< Address of the metrics endpoint; empty if metrics are not served.
    std::string store;            ///< Address of the platform's store.
    std::vector<std::string> peers; ///< Addresses of routers to ask for relays.
    std::uint16_t relay_port = 0; ///< Port of the relays on the VMs of backend servers; 0 if there are none.
    std::chrono::seconds stop_limit{8}; ///< Time from the stop signal until the process is killed.
    retry_limits retries;
    allowance_policy allowances;
    vm_resources resources;
    place_settings places;

    /// Whether requests go where they are expected to wait least, and wait in this router while every server
    /// is beyond its bound. Otherwise they go by the number of this router's requests.
    bool place_by_wait = false;

    /// Longest time from the acknowledgement of a configuration until it is in force; 0 if not stated.
    std::chrono::milliseconds configuration_limit{0};

    /// Longest time that an event of a stream may spend in this router; 0 if not stated.
    std::chrono::milliseconds event_delay_limit{0};
};

/// Settings of a relay process. Addresses have the form IP:port.
struct relay_settings {
    std::string name;
    std::string listen;
    std::string metrics_listen;     ///< Address of the metrics endpoint; empty if metrics are not served.
    std::string store;              ///< Address of the platform's store.
    std::vector<std::string> peers; ///< Addresses of routers to which this relay announces itself.
    std::string backend_server;     ///< Address of the server beside this relay; empty if not stated.
    vm_resources resources;
};

/// Reads and validates a settings file. On failure, the error lists every invalid field with its value and
/// the allowed values.
result<gateway_settings> load_gateway_settings(const std::string& path);

/// Reads and validates a settings file in the same way as `load_gateway_settings`.
result<relay_settings> load_relay_settings(const std::string& path);

} // namespace eelgrassgw

#pragma once

/// Settings of the router and of the relay, read from JSON files.

#include "budgets/allowance_table.h"
#include "eelgrassgw/base/failure.h"
#include "retries/retry_budget.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassgw {

struct gateway_settings {
    std::string name;
    std::string data_centre;
    std::string listen;                 ///< For callers.
    std::string readiness_listen;       ///< Empty: readiness is not served.
    std::string peer_listen;            ///< For other routers and relays; empty: not served.
    std::string notice_listen;          ///< For datagrams of other routers; empty: none are sent or taken.
    std::string metrics_listen;         ///< Empty: metrics are not served.
    std::string store;                  ///< Address of the platform's store.
    std::vector<std::string> peers;     ///< Routers that may know relays.
    std::uint16_t relay_port = 0;       ///< Of relays beside backend servers; 0: there are none.
    std::chrono::seconds stop_limit{8}; ///< From the signal to the forced end.
    retry_limits retries;
    allowance_policy allowances;
};

struct relay_settings {
    std::string name;
    std::string listen;
    std::string metrics_listen;     ///< Empty: metrics are not served.
    std::string store;              ///< Address of the platform's store.
    std::vector<std::string> peers; ///< Routers that are told of this relay.
};

/// Reads and checks a settings file. The failure lists every bad field with its value and what is allowed.
result<gateway_settings> load_gateway_settings(const std::string& path);
result<relay_settings> load_relay_settings(const std::string& path);

} // namespace eelgrassgw

#pragma once

/// Settings of the daemons: JSON files, each field checked. docs/settings.md lists every field.

#include "eelgrassgw/base/log.h"
#include "eelgrassgw/settings/document_reader.h"
#include "eelgrassgw/transport/http_client.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// What every daemon needs.
struct common_settings {
    std::string name;
    endpoint listen;
    endpoint advertise; ///< Where other processes reach this one; `listen` unless set.
    std::string data_centre;
    endpoint object_api;
    std::chrono::milliseconds object_api_timeout{2000};
    std::string fleet_key;
    std::string log_file;
    log_level least_level = log_level::info;
};

/// A second listener, for callers alone, that speaks TLS.
struct tls_settings {
    endpoint listen;
    std::string certificate_file; ///< PEM.
    std::string private_key_file; ///< PEM.
};

struct router_settings {
    common_settings common;
    std::optional<tls_settings> tls;
    std::vector<endpoint> peers; ///< Routers to ask while the object API is down.
    std::chrono::milliseconds journal_interval{1000};
    std::chrono::milliseconds fold_interval{30000};
    std::chrono::milliseconds heartbeat_interval{5000};
    std::chrono::milliseconds suspect_after{15000};      ///< Silence after which a router is recovered.
    std::chrono::milliseconds idle_return_after{300000}; ///< Unused allowances go back after this.
    std::chrono::milliseconds drain_limit{60000};
    std::chrono::milliseconds resolve_limit{5000}; ///< For finding out what became of a sent ticket.
    std::chrono::seconds grant_horizon{3600};
    tokens smallest_grant = 2000;
    int max_attempts = 3;
    std::size_t max_body_bytes = 1U << 20U;
    unsigned max_connections = 400;
};

struct agent_settings {
    common_settings common;
    std::string vm; ///< Its name in the platform's list of VMs; empty where the list is not used.
    bool is_model_engine = true;
    endpoint backend;
    std::chrono::milliseconds backend_timeout{10000};
    int max_running = 32;
    int max_queued = 128;
    std::chrono::milliseconds resume_window{5000}; ///< A run that nobody reads is stopped after this.
    std::chrono::milliseconds heartbeat_interval{5000};
    std::chrono::milliseconds drain_limit{60000};
    std::chrono::milliseconds output_retention{60000};
    std::chrono::milliseconds record_retention{3600000};
    unsigned max_connections = 400;
};

/// Reads and checks a settings file. The failure lists file, field, value and what is allowed.
result<router_settings> load_router_settings(const std::string& file);
result<agent_settings> load_agent_settings(const std::string& file);

} // namespace eelgrassgw

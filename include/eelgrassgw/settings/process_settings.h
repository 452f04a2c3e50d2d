#pragma once

/// Settings of the daemons, which are read from JSON files and validated. docs/settings.md lists every field.

#include "eelgrassgw/base/log.h"
#include "eelgrassgw/settings/document_reader.h"
#include "eelgrassgw/transport/http_client.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Settings that all daemons have in common.
struct common_settings {
    std::string name;
    endpoint listen;
    endpoint advertise; ///< Address at which other processes reach this one; defaults to `listen`.
    std::string data_centre;
    endpoint object_api;
    std::chrono::milliseconds object_api_timeout{2000};
    std::string fleet_key;
    std::string log_file;
    log_level min_log_level = log_level::info;
};

/// Settings of a second listener, which accepts callers over TLS.
struct tls_settings {
    endpoint listen;
    std::string certificate_file; ///< Path of the certificate in PEM format.
    std::string private_key_file; ///< Path of the private key in PEM format.
};

/// Settings of a router.
struct router_settings {
    common_settings common;
    std::optional<tls_settings> tls;
    std::vector<endpoint> peers; ///< Routers that this router asks while the object API is unreachable.
    std::chrono::milliseconds journal_interval{1000};
    std::chrono::milliseconds fold_interval{30000};
    std::chrono::milliseconds heartbeat_interval{5000};

    /// Time without heartbeats after which a router is recovered.
    std::chrono::milliseconds suspect_after{15000};

    /// Idle time after which unused allowances are returned.
    std::chrono::milliseconds idle_return_after{300000};

    std::chrono::milliseconds drain_limit{60000}; ///< Time limit for running requests at shutdown.

    /// Time limit for finding out the outcome of a sent ticket.
    std::chrono::milliseconds resolve_limit{5000};

    std::chrono::seconds grant_horizon{3600};
    tokens smallest_grant = 2000;
    int max_attempts = 3;
    std::size_t max_body_bytes = 1U << 20U;
    unsigned max_connections = 400;
};

/// Settings of an agent.
struct agent_settings {
    common_settings common;
    std::string vm; ///< Name of the agent's VM in the platform's list of VMs; empty if the list is not used.
    bool is_model_engine = true;
    endpoint backend;
    std::chrono::milliseconds backend_timeout{10000};
    int max_running = 32;
    int max_queued = 128;
    std::chrono::milliseconds resume_window{5000}; ///< Time after which a run without a reader is stopped.
    std::chrono::milliseconds heartbeat_interval{5000};
    std::chrono::milliseconds drain_limit{60000};
    std::chrono::milliseconds output_retention{60000};
    std::chrono::milliseconds record_retention{3600000};
    unsigned max_connections = 400;
};

/// Reads and validates a settings file. The failure names the file and, for each error, the field, its value
/// and the allowed values.
result<router_settings> load_router_settings(const std::string& file);
result<agent_settings> load_agent_settings(const std::string& file);

} // namespace eelgrassgw

#pragma once

/// Configuration of the whole fleet, which is accepted or rejected as a unit.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassgw {

/// Number of an accepted configuration, which increases by 1 with every change.
using configuration_revision = std::int64_t;

/// A call of a plain service that customers can make through the fleet.
struct service_call {
    std::string name;
    std::string method;
    std::string path;
    bool idempotent = false;
    tokens price = 0; ///< Number of tokens billed for each executed call.
};

/// A plain service and its calls.
struct service_definition {
    std::string name;
    std::vector<service_call> calls;

    const service_call* find_call(const std::string& call) const;
};

/// A back end server of the fleet. Its agent registers under the same name.
struct backend_server_definition {
    std::string name;
    bool is_model_engine = true;
    std::vector<std::string> serves; ///< Names of the models or services that the server offers.
    bool checks_orders = false;      ///< Whether the server rejects orders with an outdated fencing number.

    bool serves_name(const std::string& name) const;
};

/// Digest of an API key and the budget that pays for its requests.
struct customer_key {
    std::string sha256;
    std::string budget;
};

/// A customer with its budgets and API keys.
struct customer_definition {
    std::string name;
    std::vector<std::string> budgets;
    std::vector<customer_key> keys;
};

/// Overrides the default of one setting for one customer.
struct exception_definition {
    std::string customer;
    std::string setting;
    Json::Value value;
    std::string reason;
};

/// Value that applies to a customer, and the source of that value.
struct effective_value {
    Json::Value value;
    std::string source; ///< Either "default" or "exception: <reason>".
};

/// Settings that apply to the requests of one customer.
struct request_limits {
    tokens max_tokens_default = 0;
    tokens max_tokens_limit = 0;
    std::chrono::milliseconds deadline{0};
    int max_in_flight = 0;
    std::string priority;
};

/// Holds an immutable, validated configuration.
class configuration {
public:
    /// Validates the whole document. The failure lists every error on a line of its own.
    static result<configuration> from_json(const Json::Value& document);

    configuration_revision revision() const { return revision_; }
    unsigned ledger_shards() const { return ledger_shards_; }
    int max_running_per_backend_server() const { return max_running_per_backend_server_; }
    const std::vector<std::string>& models() const { return models_; }
    const std::vector<service_definition>& services() const { return services_; }
    const std::vector<backend_server_definition>& backend_servers() const { return backend_servers_; }
    const std::vector<customer_definition>& customers() const { return customers_; }
    const std::vector<exception_definition>& exceptions() const { return exceptions_; }

    bool has_model(const std::string& name) const;
    const service_definition* find_service(const std::string& name) const;
    const backend_server_definition* find_backend_server(const std::string& name) const;
    const customer_definition* find_customer(const std::string& name) const;

    /// Customer that owns an API key, and the budget that the key uses. `customer` is null for an unknown
    /// key.
    struct key_owner {
        const customer_definition* customer = nullptr;
        std::string budget;
    };
    /// Returns the owner of the API key with the digest `sha256`.
    key_owner find_key(const std::string& sha256) const;

    /// Returns the value of `setting` for `customer` and its source. `setting` must be one of
    /// `setting_names()`.
    effective_value effective_setting(const std::string& customer, const std::string& setting) const;
    static const std::vector<std::string>& setting_names();

    /// Returns all settings that apply to requests of `customer`.
    request_limits limits_of(const std::string& customer) const;

    /// Returns the accepted document. Parses it at each call, because the configuration stores it as text.
    Json::Value document() const;

private:
    std::string document_text_;
    configuration_revision revision_ = 0;
    unsigned ledger_shards_ = 0;
    int max_running_per_backend_server_ = 0;
    Json::Value defaults_;
    std::vector<std::string> models_;
    std::vector<service_definition> services_;
    std::vector<backend_server_definition> backend_servers_;
    std::vector<customer_definition> customers_;
    std::vector<exception_definition> exceptions_;

    struct key_entry {
        std::size_t customer = 0; ///< Index into `customers_`.
        std::string budget;
    };
    std::unordered_map<std::string, key_entry> keys_; ///< API keys by their SHA-256 digest.

    friend class configuration_parser;
};

} // namespace eelgrassgw

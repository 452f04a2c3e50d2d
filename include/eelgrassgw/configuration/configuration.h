#pragma once

/// The configuration of the whole fleet: an aggregate that is accepted or refused as one.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassgw {

using configuration_revision = std::int64_t;

/// One call of a plain service, as the fleet offers it.
struct service_call {
    std::string name;
    std::string method;
    std::string path;
    bool idempotent = false;
    tokens price = 0; ///< Billed for each call that ran.
};

struct service_definition {
    std::string name;
    std::vector<service_call> calls;

    const service_call* find_call(const std::string& call) const;
};

/// A back end behind the fleet. Its agent registers under the same name.
struct backend_server_definition {
    std::string name;
    bool is_model_engine = true;
    std::vector<std::string> serves; ///< Models or services.
    bool checks_orders = false;      ///< Refuses orders with an old fencing number.

    bool serves_name(const std::string& name) const;
};

struct customer_key {
    std::string sha256;
    std::string budget;
};

struct customer_definition {
    std::string name;
    std::vector<std::string> budgets;
    std::vector<customer_key> keys;
};

/// One departure from the defaults for one customer.
struct exception_definition {
    std::string customer;
    std::string setting;
    Json::Value value;
    std::string reason;
};

/// A value in force and where it comes from.
struct effective_value {
    Json::Value value;
    std::string source; ///< "default", or "exception: <reason>".
};

/// The settings that apply to one customer's requests.
struct request_limits {
    tokens max_tokens_default = 0;
    tokens max_tokens_limit = 0;
    std::chrono::milliseconds deadline{0};
    int max_in_flight = 0;
    std::string priority;
};

/// An immutable, validated configuration.
class configuration {
public:
    /// Validates the whole document. The failure lists every error, one a line.
    static result<configuration> from_json(const Json::Value& document);

    configuration_revision revision() const { return revision_; }
    unsigned ledger_shards() const { return ledger_shards_; }
    int max_running_per_backend_server() const { return max_running_; }
    const std::vector<std::string>& models() const { return models_; }
    const std::vector<service_definition>& services() const { return services_; }
    const std::vector<backend_server_definition>& backend_servers() const { return backend_servers_; }
    const std::vector<customer_definition>& customers() const { return customers_; }
    const std::vector<exception_definition>& exceptions() const { return exceptions_; }

    bool has_model(const std::string& name) const;
    const service_definition* find_service(const std::string& name) const;
    const backend_server_definition* find_backend_server(const std::string& name) const;
    const customer_definition* find_customer(const std::string& name) const;

    /// Whose key has the digest `sha256`, and which budget it draws on.
    struct key_owner {
        const customer_definition* customer = nullptr;
        std::string budget;
    };
    key_owner find_key(const std::string& sha256) const;

    /// The value of `setting` for `customer`, with its source. Precondition: `setting` is one of
    /// `setting_names()`.
    effective_value effective(const std::string& customer, const std::string& setting) const;
    static const std::vector<std::string>& setting_names();

    request_limits limits_of(const std::string& customer) const;

    /// The document as it was accepted. Parsed anew at each call, since it is kept as text.
    Json::Value document() const;

private:
    std::string document_text_;
    configuration_revision revision_ = 0;
    unsigned ledger_shards_ = 0;
    int max_running_ = 0;
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
    std::unordered_map<std::string, key_entry> keys_; ///< By digest.

    friend class configuration_parser;
};

} // namespace eelgrassgw

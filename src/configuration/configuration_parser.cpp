#include "configuration_parser.h"

#include "eelgrassgw/run/priority.h"

#include <algorithm>
#include <set>

namespace eelgrassgw {

namespace {

constexpr std::int64_t max_tokens_ceiling = 1000000;
constexpr std::int64_t max_deadline_ms = 3600000;
constexpr std::int64_t max_in_flight_ceiling = 100000;
constexpr std::int64_t max_ledger_shards = 4096;
constexpr std::size_t sha256_digits = 64;

std::string element_place(const char* list, Json::ArrayIndex i) {
    return std::string(list) + "[" + std::to_string(i) + "]";
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Reads the settings that have a default and that an exception may override.
Json::Value read_request_settings(document_reader& in) {
    Json::Value settings;
    settings["max_tokens_default"] =
        Json::Int64(in.integer_or("max_tokens_default", 1, max_tokens_ceiling, 256));
    settings["max_tokens_limit"] =
        Json::Int64(in.integer_or("max_tokens_limit", 1, max_tokens_ceiling, 4096));
    settings["request_deadline_ms"] =
        Json::Int64(in.integer_or("request_deadline_ms", 100, max_deadline_ms, 60000));
    settings["max_in_flight"] = Json::Int64(in.integer_or("max_in_flight", 1, max_in_flight_ceiling, 1000));
    settings["priority"] = in.choice_or("priority", priority_names(), "normal");
    return settings;
}

} // namespace

result<configuration> configuration_parser::parse() {
    document_reader in(document_, "configuration");
    parsed_.document_text_ = to_text(document_);
    parsed_.revision_ = in.integer_or("revision", 0, INT64_MAX, 0);
    in.text_or("changed_by", "nobody");
    in.text_or("reason", "none");
    read_defaults(in.object_or_empty("defaults"));
    parsed_.models_ = in.texts_or_empty("models");
    read_services(in.array_or_empty("services"));
    read_backend_servers(in.array_or_empty("backend_servers"));
    read_customers(in.array_or_empty("customers"));
    read_exceptions(in.array_or_empty("exceptions"));
    finish_reader(in);
    check_unique_names();
    index_keys();
    if (errors_.empty()) {
        return std::move(parsed_);
    }
    std::string lines;
    for (const std::string& error : errors_) {
        lines += lines.empty() ? error : "\n" + error;
    }
    return make_failure(errc::invalid_configuration, "validate configuration", "", lines);
}

void configuration_parser::finish_reader(document_reader& reader) {
    reader.finish();
    errors_.insert(errors_.end(), reader.errors().begin(), reader.errors().end());
}

void configuration_parser::read_defaults(const Json::Value& section) {
    document_reader in(section, "defaults");
    parsed_.ledger_shards_ = static_cast<unsigned>(in.integer_or("ledger_shards", 1, max_ledger_shards, 16));
    parsed_.max_running_per_backend_server_ =
        static_cast<int>(in.integer_or("max_running_per_backend_server", 1, 10000, 32));
    parsed_.defaults_ = read_request_settings(in);
    finish_reader(in);
}

void configuration_parser::read_services(const Json::Value& list) {
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        document_reader in(list[i], element_place("services", i));
        service_definition service;
        service.name = in.text("name");
        const Json::Value& calls = in.array_or_empty("calls");
        for (Json::ArrayIndex j = 0; j < calls.size(); ++j) {
            service.calls.push_back(read_call(calls[j], in.place() + "." + element_place("calls", j)));
        }
        finish_reader(in);
        parsed_.services_.push_back(std::move(service));
    }
}

service_call configuration_parser::read_call(const Json::Value& section, const std::string& place) {
    document_reader in(section, place);
    service_call call;
    call.name = in.text("name");
    call.method = in.choice_or("method", {"GET", "POST", "PUT", "DELETE"}, "POST");
    call.path = in.text("path");
    call.idempotent = in.boolean_or("idempotent", false);
    call.price = in.integer("price_tokens", 0, max_tokens_ceiling);
    finish_reader(in);
    return call;
}

void configuration_parser::read_backend_servers(const Json::Value& list) {
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        document_reader in(list[i], element_place("backend_servers", i));
        backend_server_definition server;
        server.name = in.text("name");
        server.is_model_engine = in.choice_or("kind", {"model", "service"}, "model") == "model";
        server.serves = in.texts_or_empty("serves");
        server.checks_orders = in.boolean_or("checks_orders", false);
        finish_reader(in);
        check_served_names(server, in.place());
        parsed_.backend_servers_.push_back(std::move(server));
    }
}

void configuration_parser::check_served_names(const backend_server_definition& server,
                                              const std::string& place) {
    for (const std::string& name : server.serves) {
        const bool known =
            server.is_model_engine ? parsed_.has_model(name) : parsed_.find_service(name) != nullptr;
        if (!known) {
            errors_.push_back("field \"serves\" in \"" + place + "\" names \"" + name +
                              "\", which is not a " + (server.is_model_engine ? "model" : "service") +
                              " of this configuration");
        }
    }
}

void configuration_parser::read_customers(const Json::Value& list) {
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        document_reader in(list[i], element_place("customers", i));
        customer_definition customer;
        customer.name = in.text("name");
        customer.budgets = in.texts_or_empty("budgets");
        const Json::Value& keys = in.array_or_empty("keys");
        for (Json::ArrayIndex j = 0; j < keys.size(); ++j) {
            document_reader key_in(keys[j], in.place() + "." + element_place("keys", j));
            customer_key key{key_in.text("sha256"), key_in.text("budget")};
            if (key.sha256.size() != sha256_digits) {
                key_in.report("sha256", "\"" + key.sha256 + "\"", "64 hexadecimal digits");
            }
            if (!contains(customer.budgets, key.budget)) {
                key_in.report("budget", "\"" + key.budget + "\"",
                              "a budget of customer \"" + customer.name + "\"");
            }
            finish_reader(key_in);
            customer.keys.push_back(std::move(key));
        }
        finish_reader(in);
        parsed_.customers_.push_back(std::move(customer));
    }
}

void configuration_parser::read_exceptions(const Json::Value& list) {
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        document_reader in(list[i], element_place("exceptions", i));
        exception_definition exception;
        exception.customer = in.text("customer");
        exception.setting = in.choice_or("setting", configuration::setting_names(), "");
        exception.reason = in.text("reason");
        exception.value = in.required_value("value");
        finish_reader(in);
        check_exception(exception, in.place());
        parsed_.exceptions_.push_back(std::move(exception));
    }
}

void configuration_parser::check_exception(const exception_definition& exception, const std::string& place) {
    if (parsed_.find_customer(exception.customer) == nullptr) {
        errors_.push_back("field \"customer\" in \"" + place + "\" names \"" + exception.customer +
                          "\", which is not a customer of this configuration");
    }
    if (exception.setting.empty()) {
        return;
    }
    Json::Value document;
    document[exception.setting] = exception.value;
    document_reader in(document, place + ".value");
    read_request_settings(in);
    finish_reader(in);
}

void configuration_parser::index_keys() {
    for (std::size_t i = 0; i < parsed_.customers_.size(); ++i) {
        for (const customer_key& key : parsed_.customers_[i].keys) {
            parsed_.keys_[key.sha256] = {i, key.budget};
        }
    }
}

void configuration_parser::check_unique_names() {
    std::set<std::string> names;
    const auto check = [&](const char* kind, const std::string& name) {
        if (!names.insert(std::string(kind) + " \"" + name + "\"").second) {
            errors_.push_back(std::string(kind) + " \"" + name + "\" is defined twice");
        }
    };
    for (const std::string& model : parsed_.models_) {
        check("model", model);
    }
    for (const service_definition& service : parsed_.services_) {
        check("service", service.name);
    }
    for (const backend_server_definition& server : parsed_.backend_servers_) {
        check("backend server", server.name);
    }
    for (const customer_definition& customer : parsed_.customers_) {
        check("customer", customer.name);
        for (const std::string& budget : customer.budgets) {
            check("budget", budget);
        }
        for (const customer_key& key : customer.keys) {
            check("key", key.sha256);
        }
    }
    for (const exception_definition& exception : parsed_.exceptions_) {
        check("exception", exception.customer + "\" for setting \"" + exception.setting);
    }
}

} // namespace eelgrassgw

#include "eelgrassgw/configuration/configuration.h"

#include "configuration_parser.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

template <class T>
const T* find_named(const std::vector<T>& all, const std::string& name) {
    const auto it = std::find_if(all.begin(), all.end(), [&](const T& entry) { return entry.name == name; });
    return it == all.end() ? nullptr : &*it;
}

} // namespace

result<configuration> configuration::from_json(const Json::Value& document) {
    return configuration_parser(document).parse();
}

Json::Value configuration::document() const {
    const result<Json::Value> parsed = parse_json(document_text_);
    return parsed ? parsed.value() : Json::Value();
}

const service_call* service_definition::find_call(const std::string& call) const {
    return find_named(calls, call);
}

bool backend_server_definition::serves_name(const std::string& served) const {
    return std::find(serves.begin(), serves.end(), served) != serves.end();
}

bool configuration::has_model(const std::string& name) const {
    return std::find(models_.begin(), models_.end(), name) != models_.end();
}

const service_definition* configuration::find_service(const std::string& name) const {
    return find_named(services_, name);
}

const backend_server_definition* configuration::find_backend_server(const std::string& name) const {
    return find_named(backend_servers_, name);
}

const customer_definition* configuration::find_customer(const std::string& name) const {
    return find_named(customers_, name);
}

configuration::key_owner configuration::find_key(const std::string& sha256) const {
    const auto it = keys_.find(sha256);
    if (it == keys_.end()) {
        return {};
    }
    return {&customers_[it->second.customer], it->second.budget};
}

const std::vector<std::string>& configuration::setting_names() {
    static const std::vector<std::string> names = {"max_tokens_default", "max_tokens_limit",
                                                   "request_deadline_ms", "max_in_flight", "priority"};
    return names;
}

effective_value configuration::effective_setting(const std::string& customer,
                                                 const std::string& setting) const {
    for (const exception_definition& exception : exceptions_) {
        if (exception.customer == customer && exception.setting == setting) {
            return {exception.value, "exception: " + exception.reason};
        }
    }
    return {defaults_[setting], "default"};
}

request_limits configuration::limits_of(const std::string& customer) const {
    request_limits limits;
    limits.max_tokens_default = effective_setting(customer, "max_tokens_default").value.asInt64();
    limits.max_tokens_limit = effective_setting(customer, "max_tokens_limit").value.asInt64();
    limits.deadline =
        std::chrono::milliseconds(effective_setting(customer, "request_deadline_ms").value.asInt64());
    limits.max_in_flight = effective_setting(customer, "max_in_flight").value.asInt();
    limits.priority = effective_setting(customer, "priority").value.asString();
    return limits;
}

} // namespace eelgrassgw

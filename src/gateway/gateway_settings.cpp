#include "gateway/gateway_settings.h"

#include "eelgrassgw/settings/document_reader.h"
#include "net/address.h"

namespace eelgrassgw {

namespace {

constexpr const char* address_form = "<IP number>:<port 1 to 65535>";

std::string check_address(document_reader& reader, const char* name, const std::string& text) {
    if (!text.empty() && !parse_address(text)) {
        reader.report(name, "\"" + text + "\"", address_form);
    }
    return text;
}

std::string read_address(document_reader& reader, const char* name) {
    return check_address(reader, name, reader.text(name));
}

std::string read_optional_address(document_reader& reader, const char* name) {
    return check_address(reader, name, reader.text_or(name, ""));
}

std::vector<std::string> read_addresses(document_reader& reader, const char* name) {
    std::vector<std::string> texts = reader.texts_or_empty(name);
    for (const std::string& text : texts) {
        check_address(reader, name, text);
    }
    return texts;
}

void read_retries(document_reader& reader, retry_limits& retries) {
    retries.retries_per_request = reader.number_or("retry_ratio", 0, 10, retries.retries_per_request);
    retries.extra_retries = reader.number_or("retry_extra", 0, 1000000, retries.extra_retries);
    retries.window =
        std::chrono::seconds(reader.integer_or("retry_window_s", 1, 3600, retries.window.count()));
}

void read_allowances(document_reader& reader, allowance_policy& policy) {
    policy.horizon = reader.milliseconds_or("allowance_horizon_ms", 10, 3600000, policy.horizon);
    policy.scarce_horizon =
        reader.milliseconds_or("scarce_allowance_horizon_ms", 0, 3600000, policy.scarce_horizon);
    policy.scarce_tokens_per_router =
        reader.integer_or("scarce_tokens_per_router", 0, 1000000000, policy.scarce_tokens_per_router);
    policy.max_unspent_share = reader.number_or("largest_allowance_share", 0, 1, policy.max_unspent_share);
}

vm_resources read_resources(document_reader& reader) {
    document_reader fields(reader.object_or_empty("resources"), "resources");
    vm_resources resources;
    resources.processor_share = fields.number_or("processor_share", 0, 1000, 0);
    resources.memory_mb = static_cast<std::size_t>(fields.integer_or("memory_mb", 0, 1000000, 0));
    resources.max_descriptors =
        static_cast<std::size_t>(fields.integer_or("max_descriptors", 0, 100000000, 0));
    resources.link_mbps = fields.number_or("link_mbps", 0, 10000000, 0);
    fields.finish();
    reader.add_errors(fields);
    return resources;
}

place_settings read_places(document_reader& reader) {
    place_settings places;
    places.region = reader.text_or("region", "");
    const Json::Value& regions = reader.object_or_empty("data_centres");
    for (const std::string& data_centre : regions.getMemberNames()) {
        const Json::Value& region = regions[data_centre];
        if (!region.isString()) {
            reader.report("data_centres." + data_centre, to_text(region), "the name of a region");
            continue;
        }
        places.regions[data_centre] = region.asString();
    }
    const auto evacuation_limit =
        reader.milliseconds_or("evacuation_limit_ms", 0, 3600000, std::chrono::milliseconds(0));
    if (evacuation_limit > std::chrono::milliseconds(0)) {
        places.evacuation_limit = evacuation_limit;
    }
    places.cold_overshoot = reader.number_or("cold_overshoot", 1, 1000, places.cold_overshoot);
    places.cold_slack = reader.number_or("cold_slack", 0, 1000000, places.cold_slack);
    return places;
}

} // namespace

result<gateway_settings> load_gateway_settings(const std::string& path) {
    const result<Json::Value> document = load_document(path);
    if (!document) {
        return document.error();
    }
    document_reader reader(document.value(), path);
    gateway_settings settings;
    settings.name = reader.text("name");
    settings.data_centre = reader.text("data_centre");
    settings.listen = read_address(reader, "listen");
    settings.readiness_listen = read_optional_address(reader, "readiness_listen");
    settings.peer_listen = read_optional_address(reader, "peer_listen");
    settings.notice_listen = read_optional_address(reader, "notice_listen");
    settings.metrics_listen = read_optional_address(reader, "metrics_listen");
    settings.store = read_address(reader, "store");
    settings.peers = read_addresses(reader, "peers");
    settings.relay_port = static_cast<std::uint16_t>(reader.integer_or("relay_port", 0, 65535, 0));
    settings.stop_limit =
        std::chrono::seconds(reader.integer_or("stop_limit_s", 1, 3600, settings.stop_limit.count()));
    read_retries(reader, settings.retries);
    read_allowances(reader, settings.allowances);
    settings.resources = read_resources(reader);
    settings.places = read_places(reader);
    settings.place_by_wait = reader.boolean_or("place_by_wait", settings.place_by_wait);
    settings.configuration_limit =
        reader.milliseconds_or("configuration_limit_ms", 0, 600000, settings.configuration_limit);
    settings.event_delay_limit =
        reader.milliseconds_or("event_delay_limit_ms", 0, 60000, settings.event_delay_limit);
    reader.finish();
    if (!reader.errors().empty()) {
        return reader.to_failure(path);
    }
    return settings;
}

result<relay_settings> load_relay_settings(const std::string& path) {
    const result<Json::Value> document = load_document(path);
    if (!document) {
        return document.error();
    }
    document_reader reader(document.value(), path);
    relay_settings settings;
    settings.name = reader.text("name");
    settings.listen = read_address(reader, "listen");
    settings.metrics_listen = read_optional_address(reader, "metrics_listen");
    settings.store = read_address(reader, "store");
    settings.peers = read_addresses(reader, "peers");
    settings.backend_server = read_optional_address(reader, "backend_server");
    settings.resources = read_resources(reader);
    reader.finish();
    if (!reader.errors().empty()) {
        return reader.to_failure(path);
    }
    return settings;
}

} // namespace eelgrassgw

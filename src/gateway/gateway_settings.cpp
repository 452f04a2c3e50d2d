#include "gateway/gateway_settings.h"

#include "eelgrassgw/settings/document_reader.h"
#include "net/address.h"

namespace eelgrassgw {

namespace {

constexpr const char* address_form = "<IP number>:<port 1 to 65535>";

std::string checked_address(document_reader& in, const char* name, const std::string& text) {
    if (!text.empty() && !parse_address(text)) {
        in.report(name, "\"" + text + "\"", address_form);
    }
    return text;
}

std::string address(document_reader& in, const char* name) {
    return checked_address(in, name, in.text(name));
}

std::string address_or_none(document_reader& in, const char* name) {
    return checked_address(in, name, in.text_or(name, ""));
}

std::vector<std::string> addresses(document_reader& in, const char* name) {
    std::vector<std::string> texts = in.texts_or_empty(name);
    for (const std::string& text : texts) {
        checked_address(in, name, text);
    }
    return texts;
}

void read_retries(document_reader& in, retry_limits& retries) {
    retries.retries_per_request = in.number_or("retry_ratio", 0, 10, retries.retries_per_request);
    retries.extra_retries = in.number_or("retry_extra", 0, 1000000, retries.extra_retries);
    retries.window = std::chrono::seconds(in.integer_or("retry_window_s", 1, 3600, retries.window.count()));
}

void read_allowances(document_reader& in, allowance_policy& policy) {
    policy.horizon = in.milliseconds_or("allowance_horizon_ms", 10, 3600000, policy.horizon);
    policy.scarce_horizon =
        in.milliseconds_or("scarce_allowance_horizon_ms", 0, 3600000, policy.scarce_horizon);
    policy.max_unspent_share = in.number_or("largest_allowance_share", 0, 1, policy.max_unspent_share);
}

} // namespace

result<gateway_settings> load_gateway_settings(const std::string& path) {
    const result<Json::Value> document = load_document(path);
    if (!document) {
        return document.error();
    }
    document_reader in(document.value(), path);
    gateway_settings s;
    s.name = in.text("name");
    s.data_centre = in.text("data_centre");
    s.listen = address(in, "listen");
    s.readiness_listen = address_or_none(in, "readiness_listen");
    s.peer_listen = address_or_none(in, "peer_listen");
    s.notice_listen = address_or_none(in, "notice_listen");
    s.metrics_listen = address_or_none(in, "metrics_listen");
    s.store = address(in, "store");
    s.peers = addresses(in, "peers");
    s.relay_port = static_cast<std::uint16_t>(in.integer_or("relay_port", 0, 65535, 0));
    s.stop_limit = std::chrono::seconds(in.integer_or("stop_limit_s", 1, 3600, s.stop_limit.count()));
    read_retries(in, s.retries);
    read_allowances(in, s.allowances);
    in.finish();
    if (!in.errors().empty()) {
        return in.to_failure(path);
    }
    return s;
}

result<relay_settings> load_relay_settings(const std::string& path) {
    const result<Json::Value> document = load_document(path);
    if (!document) {
        return document.error();
    }
    document_reader in(document.value(), path);
    relay_settings s;
    s.name = in.text("name");
    s.listen = address(in, "listen");
    s.metrics_listen = address_or_none(in, "metrics_listen");
    s.store = address(in, "store");
    s.peers = addresses(in, "peers");
    in.finish();
    if (!in.errors().empty()) {
        return in.to_failure(path);
    }
    return s;
}

} // namespace eelgrassgw

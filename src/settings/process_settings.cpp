#include "eelgrassgw/settings/process_settings.h"

namespace eelgrassgw {

namespace {

constexpr std::size_t min_fleet_key_bytes = 16;
constexpr std::int64_t hour_ms = 3600000;
constexpr std::int64_t day_ms = 24 * hour_ms;

endpoint read_endpoint(document_reader& in, const char* name) {
    const std::string text = in.text(name);
    const result<endpoint> parsed = parse_endpoint(text);
    if (parsed) {
        return parsed.value();
    }
    if (!text.empty()) {
        in.report(name, "\"" + text + "\"", "<IP number>:<port 1 to 65535>");
    }
    return {};
}

std::vector<endpoint> read_endpoints(document_reader& in, const char* name) {
    std::vector<endpoint> endpoints;
    for (const std::string& text : in.texts_or_empty(name)) {
        const result<endpoint> parsed = parse_endpoint(text);
        if (parsed) {
            endpoints.push_back(parsed.value());
        } else {
            in.report(name, "\"" + text + "\"", "a list of <IP number>:<port 1 to 65535>");
        }
    }
    return endpoints;
}

log_level read_log_level(document_reader& in) {
    const std::string level = in.choice_or("log_level", {"debug", "info", "warning", "error"}, "info");
    if (level == "debug") {
        return log_level::debug;
    }
    if (level == "warning") {
        return log_level::warning;
    }
    return level == "error" ? log_level::error : log_level::info;
}

void check_readable(document_reader& in, const char* name, const std::string& file) {
    if (!read_file(file)) {
        in.report(name, "\"" + file + "\"", "a PEM file that can be read");
    }
}

common_settings read_common(document_reader& in) {
    common_settings common;
    common.name = in.text("name");
    common.listen = read_endpoint(in, "listen");
    const std::string advertise = in.text_or("advertise", common.listen.text());
    const result<endpoint> advertised = parse_endpoint(advertise);
    common.advertise = advertised ? advertised.value() : common.listen;
    if (!advertised && common.listen.port != 0) {
        in.report("advertise", "\"" + advertise + "\"", "<IP number>:<port 1 to 65535>");
    }
    common.data_centre = in.text("data_centre");
    common.object_api = read_endpoint(in, "object_api");
    common.object_api_timeout =
        in.milliseconds_or("object_api_timeout_ms", 10, 60000, common.object_api_timeout);
    common.fleet_key = in.text("fleet_key");
    if (!common.fleet_key.empty() && common.fleet_key.size() < min_fleet_key_bytes) {
        in.report("fleet_key", "too short", "at least 16 bytes");
    }
    common.log_file = in.text_or("log_file", "");
    common.min_log_level = read_log_level(in);
    return common;
}

/// Reads the three TLS fields, which must be given together or not at all.
std::optional<tls_settings> read_tls(document_reader& in) {
    const std::string listen = in.text_or("tls_listen", "");
    tls_settings tls;
    tls.certificate_file = in.text_or("certificate_file", "");
    tls.private_key_file = in.text_or("private_key_file", "");
    if (listen.empty() && tls.certificate_file.empty() && tls.private_key_file.empty()) {
        return std::nullopt;
    }
    const result<endpoint> parsed = parse_endpoint(listen);
    if (!parsed) {
        in.report("tls_listen", "\"" + listen + "\"", "<IP number>:<port 1 to 65535>");
    }
    check_readable(in, "certificate_file", tls.certificate_file);
    check_readable(in, "private_key_file", tls.private_key_file);
    tls.listen = parsed ? parsed.value() : endpoint{};
    return tls;
}

} // namespace

result<router_settings> load_router_settings(const std::string& file) {
    const result<Json::Value> document = load_document(file);
    if (!document) {
        return document.error();
    }
    document_reader in(document.value(), file);
    router_settings settings;
    settings.common = read_common(in);
    settings.tls = read_tls(in);
    settings.peers = read_endpoints(in, "peers");
    settings.journal_interval =
        in.milliseconds_or("journal_interval_ms", 10, 60000, settings.journal_interval);
    settings.fold_interval = in.milliseconds_or("fold_interval_ms", 10, hour_ms, settings.fold_interval);
    settings.heartbeat_interval =
        in.milliseconds_or("heartbeat_interval_ms", 50, 60000, settings.heartbeat_interval);
    settings.suspect_after = in.milliseconds_or("suspect_after_ms", 100, hour_ms, settings.suspect_after);
    settings.idle_return_after =
        in.milliseconds_or("idle_return_after_ms", 100, day_ms, settings.idle_return_after);
    settings.drain_limit = in.milliseconds_or("drain_limit_ms", 100, hour_ms, settings.drain_limit);
    settings.resolve_limit = in.milliseconds_or("resolve_limit_ms", 100, 600000, settings.resolve_limit);
    settings.grant_horizon =
        std::chrono::seconds(in.integer_or("grant_horizon_s", 1, 86400, settings.grant_horizon.count()));
    settings.smallest_grant = in.integer_or("smallest_grant_tokens", 0, 1000000000, settings.smallest_grant);
    settings.max_attempts = static_cast<int>(in.integer_or("max_attempts", 1, 10, settings.max_attempts));
    settings.max_body_bytes = static_cast<std::size_t>(
        in.integer_or("max_body_bytes", 1024, 1 << 28, static_cast<std::int64_t>(settings.max_body_bytes)));
    settings.max_connections =
        static_cast<unsigned>(in.integer_or("max_connections", 8, 20000, settings.max_connections));
    if (settings.suspect_after < 2 * settings.heartbeat_interval) {
        in.report("suspect_after_ms", std::to_string(settings.suspect_after.count()),
                  "at least twice heartbeat_interval_ms");
    }
    in.finish();
    if (!in.errors().empty()) {
        return in.to_failure(file);
    }
    return settings;
}

result<agent_settings> load_agent_settings(const std::string& file) {
    const result<Json::Value> document = load_document(file);
    if (!document) {
        return document.error();
    }
    document_reader in(document.value(), file);
    agent_settings settings;
    settings.common = read_common(in);
    settings.vm = in.text_or("vm", "");
    settings.is_model_engine = in.choice_or("backend_kind", {"model", "service"}, "model") == "model";
    settings.backend = read_endpoint(in, "backend");
    settings.backend_timeout =
        in.milliseconds_or("backend_timeout_ms", 10, hour_ms, settings.backend_timeout);
    settings.max_running = static_cast<int>(in.integer_or("max_running", 1, 10000, settings.max_running));
    settings.max_queued = static_cast<int>(in.integer_or("max_queued", 0, 100000, settings.max_queued));
    settings.resume_window = in.milliseconds_or("resume_window_ms", 0, hour_ms, settings.resume_window);
    settings.heartbeat_interval =
        in.milliseconds_or("heartbeat_interval_ms", 50, 60000, settings.heartbeat_interval);
    settings.drain_limit = in.milliseconds_or("drain_limit_ms", 100, hour_ms, settings.drain_limit);
    settings.output_retention =
        in.milliseconds_or("output_retention_ms", 0, hour_ms, settings.output_retention);
    settings.record_retention =
        in.milliseconds_or("record_retention_ms", 1000, day_ms, settings.record_retention);
    settings.max_connections =
        static_cast<unsigned>(in.integer_or("max_connections", 8, 20000, settings.max_connections));
    in.finish();
    if (!in.errors().empty()) {
        return in.to_failure(file);
    }
    return settings;
}

} // namespace eelgrassgw

#include "quarantine/crash_detector.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace eelgrassgw {

namespace {

/// Returns the time for which a connection may go on waiting for reuse.
std::chrono::milliseconds reuse_time_of(const connection& idle) {
    const auto now = connection_pool::clock::now();
    return idle.keep_until > now ? std::chrono::floor<std::chrono::milliseconds>(idle.keep_until - now)
                                 : connection_pool::default_reuse_time;
}

std::string name_incarnation(const backend_server& server) {
    return server.id + "@" + std::to_string(server.started_ms);
}

} // namespace

void crash_detector::note_broken_answer(const tracked_backend& server, interrupted_request request) {
    const std::string incarnation = name_incarnation(server.server);
    const bool is_first = !unchecked_.contains(incarnation);
    unchecked_[incarnation].push_back(std::move(request));
    if (is_first) {
        asio::co_spawn(context_, check(incarnation, server.server.address), asio::detached);
    }
}

task<void> crash_detector::check(std::string incarnation, std::string address) {
    co_await sleep_for(check_delay);
    auto opened = co_await pool_.open(address, connect_timeout);
    const auto requests = unchecked_.extract(incarnation);
    if (opened) {
        const milliseconds reuse_time = reuse_time_of(*opened.value());
        pool_.keep(std::move(opened.value()), reuse_time);
        co_return;
    }
    report_crash(incarnation, requests.mapped());
}

void crash_detector::report_crash(const std::string& incarnation,
                                  const std::vector<interrupted_request>& requests) {
    quarantine_.note_crash(incarnation, requests, clock_reading::now());
    Json::Value fields;
    fields["server"] = incarnation;
    fields["broken_answers"] = Json::UInt64(requests.size());
    for (const interrupted_request& each : requests) {
        if (each.after_begin && !each.parts.empty()) {
            fields["begun_with_parts"].append(each.parts.back());
        }
        Json::Value& interrupted = fields["requests"].append(Json::Value(Json::objectValue));
        interrupted["request"] = each.id;
        interrupted["fingerprint"] = each.fingerprint;
    }
    log_("backend_server_crashed", std::move(fields));
}

} // namespace eelgrassgw

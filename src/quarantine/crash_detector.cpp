#include "quarantine/crash_detector.h"

#include "quarantine/request_fingerprint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace eelgrassgw {

namespace {

std::string name_incarnation(const backend_server& server) {
    return server.id + "@" + std::to_string(server.started_ms);
}

} // namespace

void crash_detector::note_broken_answer(const tracked_backend& server, interrupted_request request,
                                        std::string id) {
    const std::string incarnation = name_incarnation(server.server);
    const bool is_first = !unchecked_.contains(incarnation);
    broken_answers& broken = unchecked_[incarnation];
    broken.requests.push_back(std::move(request));
    broken.ids.push_back(std::move(id));
    if (is_first) {
        asio::co_spawn(context_, check(incarnation, server.server.address), asio::detached);
    }
}

task<void> crash_detector::check(std::string incarnation, std::string address) {
    co_await sleep_for(check_delay);
    auto opened = co_await pool_.open(address, connect_timeout);
    const auto broken = unchecked_.extract(incarnation);
    if (opened) {
        pool_.put_back(std::move(opened.value()));
        co_return;
    }
    report_crash(incarnation, broken.mapped());
}

void crash_detector::report_crash(const std::string& incarnation, const broken_answers& broken) {
    quarantine_.note_crash(incarnation, broken.requests, clock_reading::now());
    Json::Value fields;
    fields["server"] = incarnation;
    fields["broken_answers"] = Json::UInt64(broken.requests.size());
    for (std::size_t i = 0; i < broken.requests.size(); ++i) {
        Json::Value& entry = fields["requests"].append(Json::Value(Json::objectValue));
        entry["request"] = broken.ids[i];
        entry["begun"] = broken.requests[i].after_begin;
        for (const std::string& part : broken.requests[i].parts) {
            entry[is_fingerprint(part) ? "fingerprint" : "last_part"] = part;
        }
    }
    log_("backend_server_crashed", std::move(fields));
}

} // namespace eelgrassgw

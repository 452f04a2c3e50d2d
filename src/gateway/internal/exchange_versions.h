#pragma once

/// Member functions of `exchange` that keep a stream at the software version that began it. Included by
/// exchange.h.

#include "gateway/exchange.h"

namespace eelgrassgw {

/// Finds out which service and version began the stream that the request goes on with. Returns the refusal
/// if nobody knows, or if no server of that version is left: the caller can then begin anew at once.
template <class Core>
task<std::optional<refusal>> exchange<Core>::find_origin() {
    const auto begun_at = clock::now();
    const origin_lookup found = co_await core_.origins.find(terms_.take_up->first_request_id);
    const auto lookup_time = std::chrono::duration_cast<milliseconds>(clock::now() - begun_at);
    const auto is_service_of_stream = [&](const weighted_service& each) {
        return found.record && each.service == found.record->origin.service;
    };
    if (std::none_of(route_->services.begin(), route_->services.end(), is_service_of_stream)) {
        log_take_up(found, lookup_time, found.record ? "other_service" : "unknown");
        co_return refusal{refusal_reason::stream_origin_unknown,
                          "it is not known which software version began the stream", milliseconds(0)};
    }
    origin_ = found.record->origin;
    service_ = origin_->service;
    const bool has_server = !servers_for_request().empty();
    log_take_up(found, lookup_time, has_server ? "goes_on" : "no_server");
    if (!has_server) {
        co_return make_version_refusal();
    }
    co_return std::nullopt;
}

template <class Core>
void exchange<Core>::log_take_up(const origin_lookup& found, milliseconds lookup_time, const char* outcome) {
    Json::Value fields;
    fields["request"] = terms_.id;
    fields["resumes"] = terms_.take_up->first_request_id;
    fields["last_event_id"] = terms_.take_up->last_event_id;
    if (found.record) {
        fields["service"] = found.record->origin.service;
        fields["version"] = found.record->origin.version;
        fields["told_by"] = found.source;
        fields["age_ms"] = Json::Int64(found.record->age.count());
    }
    fields["relays_asked"] = Json::UInt64(found.asked);
    fields["relays_silent"] = Json::UInt64(found.silent);
    fields["lookup_ms"] = Json::Int64(lookup_time.count());
    fields["outcome"] = outcome;
    core_.metrics.count("take_ups", {{"outcome", outcome}});
    core_.log.write("stream_taken_up", std::move(fields));
}

/// Returns whether the server may bring further events of the stream, or its first one.
template <class Core>
bool exchange<Core>::has_version_of_stream(const tracked_backend& server) const {
    return !origin_ || (!origin_->version.empty() && server.server.version == origin_->version);
}

/// Returns the ready servers of the request's service that may run it.
template <class Core>
std::vector<std::shared_ptr<tracked_backend>> exchange<Core>::servers_for_request() const {
    std::vector<std::shared_ptr<tracked_backend>> servers = core_.directory.ready_servers(service_);
    std::erase_if(servers, [&](const auto& each) { return !has_version_of_stream(*each); });
    return servers;
}

template <class Core>
refusal exchange<Core>::make_version_refusal() const {
    return {refusal_reason::no_server_of_version,
            "no backend server of service \"" + service_ + "\" has the software version \"" +
                origin_->version + "\" that began the stream",
            milliseconds(0)};
}

/// Notes the version that brought the first events of this attempt, and tells it to relays before the caller
/// can have them. A server that has started anew since the request was sent is of unknown version.
template <class Core>
void exchange<Core>::note_stream_event(const tracked_backend& server) {
    if (is_origin_told_) {
        return;
    }
    is_origin_told_ = true;
    if (!origin_) {
        const bool is_same_start = server.server.started_ms == progress_.server_started_ms;
        origin_ = stream_origin{service_, is_same_start ? server.server.version : ""};
    }
    if (route_->resumable && !origin_->version.empty()) {
        core_.origins.note_event(stream_id(), *origin_);
    }
}

/// Returns the id by which callers name the stream when they take it up: that of the attempt with its first
/// event.
template <class Core>
std::string exchange<Core>::stream_id() const {
    return terms_.take_up ? terms_.take_up->first_request_id : terms_.id;
}

} // namespace eelgrassgw

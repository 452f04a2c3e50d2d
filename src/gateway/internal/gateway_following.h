#pragma once

/// Member functions of `gateway` that apply changes of the configuration, the backend servers and the relays.
/// Included by gateway.h.

#include "gateway/gateway.h"

namespace eelgrassgw {

/// Returns the callbacks that the followers of all kinds share.
template <gateway_platform Platform>
follower_callbacks gateway<Platform>::common_callbacks() {
    follower_callbacks callbacks;
    callbacks.log = log_sink();
    callbacks.restored = [this](std::uint64_t) {
        budgets_.check_restored_ledger();
    };
    callbacks.relist_spread = [this] {
        return relist_spread_per_router * budgets_.router_count();
    };
    return callbacks;
}

template <gateway_platform Platform>
follower_callbacks gateway<Platform>::configuration_callbacks() {
    follower_callbacks callbacks = common_callbacks();
    callbacks.form = content_form::text;
    callbacks.newest_only = true;
    callbacks.has_newer = [this] {
        return core_.freshness.is_superseded();
    };
    callbacks.up_to_date = [this](clock::time_point begun_at) {
        core_.freshness.note_store_read(begun_at);
    };
    callbacks.arrived = [this](const reply_arrival& arrival, std::size_t objects) {
        configuration_arrival_ = arrival;
        configurations_in_reply_ = objects;
    };
    callbacks.listed = [this](const object_listing& all, bool) {
        for (const followed_object& object : all.objects) {
            apply_configuration(object);
        }
    };
    callbacks.changed = [this](const followed_change& change, bool) {
        if (!change.removed) {
            apply_configuration(change.object);
        }
    };
    return callbacks;
}

template <gateway_platform Platform>
void gateway<Platform>::apply_configuration(const followed_object& object) {
    if (object.name != Platform::configuration_name) {
        return;
    }
    std::optional<std::uint64_t> in_force;
    if (core_.configuration != nullptr) {
        in_force = core_.configuration->version();
    }
    const auto decoded = configuration_decoder_.decode(object.text, in_force);
    Json::Value fields;
    fields["revision"] = Json::UInt64(object.position.revision);
    if (!decoded) {
        fields["error"] = decoded.error().text();
        log_.write_failure("configuration_rejected", std::move(fields));
        return;
    }
    if (decoded.value() == nullptr) {
        return;
    }
    fields["version"] = Json::UInt64(decoded.value()->version());
    core_.configuration = decoded.value();
    budgets_.set_configuration(decoded.value());
    core_.freshness.note_in_force(decoded.value()->version());
    core_.version_notices.send(decoded.value()->version());
    update_relays();
    describe_configuration_read(fields);
    log_.write("configuration_in_force", std::move(fields));
}

/// Adds to a line of the log how the configuration was read from the store: the wait for the first byte of
/// the reply, the time until its last one, and what decoding has taken since.
template <gateway_platform Platform>
void gateway<Platform>::describe_configuration_read(Json::Value& fields) const {
    const auto ms_between = [](clock::time_point begin, clock::time_point end) {
        return Json::Int64(std::chrono::round<milliseconds>(end - begin).count());
    };
    const reply_arrival& arrival = configuration_arrival_;
    fields["bytes"] = Json::UInt64(arrival.bytes);
    fields["reads"] = arrival.reads;
    fields["configurations_in_reply"] = Json::UInt64(configurations_in_reply_);
    fields["waited_ms"] = ms_between(arrival.sent_at, arrival.first_read_at);
    fields["read_ms"] = ms_between(arrival.first_read_at, arrival.ended_at);
    fields["decode_ms"] = ms_between(arrival.ended_at, clock::now());
    fields["callers_delay_ms"] =
        Json::Int64(std::chrono::round<milliseconds>(core_.load.callers_delay()).count());
}

template <gateway_platform Platform>
follower_callbacks gateway<Platform>::backend_callbacks() {
    follower_callbacks callbacks = common_callbacks();
    callbacks.listed = [this](const object_listing& all, bool after_outage) {
        std::vector<backend_directory::entry> entries;
        for (const followed_object& object : all.objects) {
            auto entry = decode_entry(object);
            if (entry) {
                entries.push_back(std::move(*entry));
            }
        }
        core_.directory.replace_all(entries, after_outage, clock::now());
        core_.places.note_servers(entries, clock::now());
        core_.admission->room_appeared();
        update_relays();
        Json::Value fields;
        fields["servers"] = Json::UInt64(entries.size());
        fields["revision"] = Json::UInt64(all.position.revision);
        fields["after_outage"] = after_outage;
        log_.write("backend_servers_listed", std::move(fields));
    };
    callbacks.changed = [this](const followed_change& change, bool after_outage) {
        apply_backend_change(change, after_outage);
        update_relays();
    };
    return callbacks;
}

template <gateway_platform Platform>
void gateway<Platform>::apply_backend_change(const followed_change& change, bool after_outage) {
    Json::Value fields;
    fields["server"] = change.object.name;
    fields["revision"] = Json::UInt64(change.object.position.revision);
    auto entry = change.removed ? std::nullopt : decode_entry(change.object);
    if (entry) {
        const bool draining = entry->server.draining;
        core_.directory.put(*entry);
        core_.places.note_server(*entry, clock::now());
        core_.admission->room_appeared();
        fields["state"] = draining ? "draining" : "ready";
    } else {
        const bool lapsed = change.removed && after_outage;
        core_.directory.remove(change.object.name, change.object.position, lapsed, clock::now());
        fields["state"] = lapsed ? "lapsed" : "removed";
    }
    log_.write("backend_server_changed", std::move(fields));
}

template <gateway_platform Platform>
follower_callbacks gateway<Platform>::evacuation_callbacks() {
    follower_callbacks callbacks = common_callbacks();
    callbacks.list_interval = core_.places.evacuation_list_interval();
    callbacks.listed = [this](const object_listing& all, bool) {
        core_.places.note_evacuations(all, clock::now());
    };
    return callbacks;
}

/// Asks the peers for the evacuations while the store does not answer and they are not known. If no peer
/// knows them either, goes on without them after the time in which an evacuation must be in force.
template <gateway_platform Platform>
task<void> gateway<Platform>::learn_evacuations() {
    const auto deadline = clock::now() + *settings_.places.evacuation_limit;
    while (!core_.places.knows_evacuations()) {
        co_await sleep_for(evacuation_query_interval);
        if (core_.places.knows_evacuations() || !paths_.all_paths_failed()) {
            continue;
        }
        for (const std::string& peer : settings_.peers) {
            const auto known = co_await ask_peer(peer, evacuations_path);
            if (known) {
                core_.places.note_evacuations_known_elsewhere(string_elements(known.value()));
            }
        }
        if (!core_.places.knows_evacuations() && clock::now() >= deadline) {
            log_.write_failure("evacuations_unknown");
            core_.places.note_evacuations_known_elsewhere({});
        }
    }
}

/// Sends a GET to a peer and returns its reply, which is JSON.
template <gateway_platform Platform>
task<result<Json::Value>> gateway<Platform>::ask_peer(std::string peer, const char* path) {
    text_request request(http::verb::get, path, 11);
    const call_timeouts limits;
    const auto reply = co_await call_http(control_pool_, peer, std::move(request), limits);
    if (!reply) {
        co_return reply.error();
    }
    if (reply.value().result() != http::status::ok) {
        co_return make_failure(errc::malformed, "ask peer", peer,
                               "status " + std::to_string(reply.value().result_int()));
    }
    co_return parse_json(reply.value().body());
}

template <gateway_platform Platform>
std::optional<backend_directory::entry> gateway<Platform>::decode_entry(const followed_object& object) {
    const auto decoded = Platform::decode_backend_server(object.name, object.content);
    if (decoded) {
        return backend_directory::entry{decoded.value(), object.position};
    }
    constexpr std::size_t max_remembered_entries = 1000;
    if (rejected_entries_.size() >= max_remembered_entries) {
        rejected_entries_.clear();
    }
    if (rejected_entries_.insert(object.name).second) {
        Json::Value fields;
        fields["server"] = object.name;
        fields["error"] = decoded.error().text();
        log_.write_failure("backend_entry_rejected", std::move(fields));
    }
    return std::nullopt;
}

template <gateway_platform Platform>
void gateway<Platform>::add_announced_relays(const std::vector<std::string>& relays) {
    constexpr std::size_t max_announced_relays = 200;
    for (const std::string& relay : relays) {
        if (announced_relays_.size() < max_announced_relays && parse_address(relay)) {
            announced_relays_.insert(relay);
        }
    }
    update_relays();
}

/// Uses the relays on the VMs of the listed model servers, those in this data centre first. If none is known,
/// uses the relays that were announced.
template <gateway_platform Platform>
void gateway<Platform>::update_relays() {
    std::vector<std::string> relays;
    std::vector<std::string> remote_relays;
    std::vector<std::string> staying_relays;
    std::vector<std::string> leaving_relays;
    for (const auto& each : core_.directory.all()) {
        const bool runs_models = core_.configuration != nullptr &&
                                 core_.configuration->find_service(each->server.service).runs_models;
        if (settings_.relay_port != 0 && runs_models) {
            const std::string relay = make_address(extract_host(each->server.address), settings_.relay_port);
            (each->server.data_centre == settings_.data_centre ? relays : remote_relays).push_back(relay);
            (each->server.draining ? leaving_relays : staying_relays).push_back(relay);
        }
    }
    relays.insert(relays.end(), remote_relays.begin(), remote_relays.end());
    if (relays.empty()) {
        relays.assign(announced_relays_.begin(), announced_relays_.end());
        staying_relays = relays;
    }
    core_.origins.set_relays(staying_relays, leaving_relays);
    ledger_.set_relays(relays);
    paths_.set_relays(std::move(relays));
}

} // namespace eelgrassgw

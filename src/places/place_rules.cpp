#include "places/place_rules.h"

#include <algorithm>
#include <utility>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;

const char* name_of(cold_servers::cause why) {
    switch (why) {
    case cold_servers::cause::stated:
        return "stated";
    case cold_servers::cause::new_incarnation:
        return "new_incarnation";
    case cold_servers::cause::evacuation_ended:
        return "evacuation_ended";
    case cold_servers::cause::none:
        break;
    }
    return "none";
}

bool contains(const std::vector<std::string>& list, const std::string& text) {
    return std::find(list.begin(), list.end(), text) != list.end();
}

} // namespace

place_terms make_place_terms(const route& route, const customer* customer,
                             const service_definition& service) {
    return {&route.allowed_regions, customer == nullptr ? nullptr : &customer->allowed_regions, &service};
}

void place_rules::set_settings(const place_settings& settings, event_sink_function log) {
    settings_ = settings;
    log_ = std::move(log);
}

/// A list that hangs costs up to three paths of 750 ms each, so that with this interval an evacuation is in
/// force within 3.8 s if one of the paths works.
milliseconds place_rules::evacuation_list_interval() const {
    constexpr milliseconds max_interval{1500};
    const milliseconds limit = settings_.evacuation_limit.value_or(milliseconds(0));
    return std::clamp(limit * 3 / 10, milliseconds(100), max_interval);
}

void place_rules::note_evacuations(const object_listing& all, clock::time_point now) {
    const auto changes = evacuations_.note_listing(all);
    log_evacuations(changes);
    for (const evacuation_list::change& change : changes) {
        if (!change.in_force) {
            cold_.note_evacuation_end(change.data_centre, change.position, now);
        }
    }
}

void place_rules::note_evacuations_known_elsewhere(const std::vector<std::string>& data_centres) {
    log_evacuations(evacuations_.note_known_elsewhere(data_centres));
}

void place_rules::log_evacuations(const std::vector<evacuation_list::change>& changes) {
    for (const evacuation_list::change& change : changes) {
        Json::Value fields;
        fields["data_centre"] = change.data_centre;
        fields["revision"] = Json::UInt64(change.position.revision);
        log_(change.in_force ? "evacuation_in_force" : "evacuation_ended", std::move(fields));
    }
}

void place_rules::note_servers(const std::vector<backend_directory::entry>& listed, clock::time_point now) {
    const bool at_start = !std::exchange(has_servers_, true);
    for (const backend_directory::entry& each : listed) {
        note_entry(each, at_start, now);
    }
    cold_.remove_old(now);
    shares_.remove_old(now);
}

void place_rules::note_server(const backend_directory::entry& changed, clock::time_point now) {
    note_entry(changed, false, now);
}

void place_rules::note_entry(const backend_directory::entry& entry, bool at_start, clock::time_point now) {
    const auto why = cold_.note_entry(entry.server, entry.position, at_start, now);
    if (why != cold_servers::cause::none) {
        log_cold_server(entry.server, name_of(why));
    }
}

void place_rules::note_cold_time(const backend_server& server, milliseconds cold_time_left,
                                 clock::time_point now) {
    if (cold_.note_answer(server, cold_time_left, now)) {
        log_cold_server(server, "answer");
    }
}

void place_rules::log_cold_server(const backend_server& server, const char* why) {
    Json::Value fields;
    fields["server"] = server.id;
    fields["data_centre"] = server.data_centre;
    fields["service"] = server.service;
    fields["cause"] = why;
    fields["stated_ms"] = Json::Int64(server.cold_time_left.count());
    log_("backend_server_cold", std::move(fields));
}

bool place_rules::is_in_region(const backend_server& server, const std::vector<std::string>* regions) const {
    if (regions == nullptr || regions->empty() || settings_.regions.empty()) {
        return true;
    }
    const auto region = settings_.regions.find(server.data_centre);
    return region != settings_.regions.end() && contains(*regions, region->second);
}

bool place_rules::is_allowed(const backend_server& server, const place_terms& terms) const {
    return knows_evacuations() && !evacuations_.contains(server.data_centre) &&
           is_in_region(server, terms.route_regions) && is_in_region(server, terms.customer_regions);
}

place_rules::server_list place_rules::allowed_servers(const server_list& servers,
                                                      const place_terms& terms) const {
    server_list allowed;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(allowed),
                 [&](const auto& each) { return is_allowed(each->server, terms); });
    return allowed;
}

bool place_rules::is_cold(const backend_server& server, const service_definition& service,
                          clock::time_point now) const {
    return service.max_cold_rate > 0 && service.warm_up_time > milliseconds(0) &&
           cold_.is_cold(server, service.warm_up_time, now);
}

place_rules::server_list place_rules::available_servers(const server_list& servers, const place_terms& terms,
                                                        clock::time_point now, std::size_t& kept_back) {
    server_list available;
    for (const auto& each : servers) {
        if (!is_allowed(each->server, terms)) {
            continue;
        }
        const auto wait = time_until_allowed(each->server, terms, now);
        if (wait && *wait == milliseconds(0)) {
            available.push_back(each);
        } else {
            ++kept_back;
        }
    }
    return available;
}

std::optional<milliseconds> place_rules::time_until_allowed(const backend_server& server,
                                                            const place_terms& terms, clock::time_point now) {
    if (!is_allowed(server, terms)) {
        return std::nullopt;
    }
    if (!is_cold(server, *terms.service, now)) {
        return milliseconds(0);
    }
    return shares_.time_until_room(server.id, terms.service->max_cold_rate, now);
}

std::optional<milliseconds> place_rules::time_until_available(const server_list& servers,
                                                              const place_terms& terms,
                                                              clock::time_point now) {
    std::optional<milliseconds> shortest;
    for (const auto& each : servers) {
        const auto wait = time_until_allowed(each->server, terms, now);
        if (wait) {
            const milliseconds own_wait = std::max(*wait, each->time_until_accepting(now));
            shortest = std::min(shortest.value_or(own_wait), own_wait);
        }
    }
    return shortest;
}

cold_permit place_rules::reserve(const backend_server& server, const place_terms& terms,
                                 clock::time_point now) {
    if (!is_cold(server, *terms.service, now)) {
        return {};
    }
    return shares_.take(server.id, terms.service->max_cold_rate, now);
}

bool place_rules::begin_send(const backend_server& server, const place_terms& terms, cold_permit& permit,
                             clock::time_point now) {
    if (!is_allowed(server, terms)) {
        return false;
    }
    const double rate = terms.service->max_cold_rate;
    if (rate <= 0) {
        return true;
    }
    if (!is_cold(server, *terms.service, now)) {
        shares_.note_unlimited_send(server.id, now);
        return true;
    }
    if (!permit) { // The server was warm when it was chosen.
        permit = shares_.take(server.id, rate, now);
    }
    return shares_.use(permit, rate, now);
}

std::size_t place_rules::cold_count(const server_list& servers, const fleet_configuration& configuration,
                                    clock::time_point now) const {
    return std::size_t(std::count_if(servers.begin(), servers.end(), [&](const auto& each) {
        return is_cold(each->server, configuration.find_service(each->server.service), now);
    }));
}

} // namespace eelgrassgw

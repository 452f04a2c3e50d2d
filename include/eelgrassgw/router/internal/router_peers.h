#pragma once

/// Member functions of `router` that exchange requests with other routers and with agents.

namespace eelgrassgw {

template <object_store Store>
void router<Store>::add_rpc_methods() {
    rpc_.add("configuration", [this](const Json::Value&) {
        Json::Value reply(Json::objectValue);
        const std::shared_ptr<const configuration> config = configurations_.current();
        if (config != nullptr) {
            reply["document"] = config->document();
        }
        return reply;
    });
    rpc_.add("give_back", [this](const Json::Value& params) { return give_back(params); });
    rpc_.add("find_request", [this](const Json::Value& params) {
        const std::string id = string_member(params, "request_id");
        const std::optional<request_entry> entry = requests_.find(id);
        const std::string customer = string_member(params, "customer");
        Json::Value reply;
        reply["known"] = entry.has_value() && entry->state != request_state::not_run;
        if (entry && (customer.empty() || entry->customer == customer)) {
            reply["entry"] = entry->to_json(id);
        }
        return reply;
    });
    rpc_.add("recent_requests", [this](const Json::Value& params) { return recent_requests(params); });
}

/// Returns the ids of the requests that a new agent has to remember. The agent is added to the fleet view
/// before the ids are read, whereas the dispatcher records a request with a key before it orders the agents.
/// Therefore either the agent learns of the request, or the request is routed with knowledge of the agent.
template <object_store Store>
Json::Value router<Store>::recent_requests(const Json::Value& params) {
    const std::string entry = string_member(params, "entry");
    std::string asking_agent;
    if (!entry.empty()) {
        const auto version = static_cast<object_version>(int_member(params, "version"));
        const std::string key = agent_key(string_member(params, "backend_server"));
        const result<agent_member> agent = agent_member::from_object({key, version, entry});
        if (agent) {
            view_.update_agent(agent.value());
            asking_agent = agent.value().incarnation;
        }
    }
    Json::Value reply;
    const std::shared_ptr<session> own_session = current_session();
    reply["router"] = own_session == nullptr ? "" : own_session->incarnation();
    reply["request_ids"] = Json::arrayValue;
    const std::string backend_server = string_member(params, "backend_server");
    for (const std::string& id : requests_.requests_to_remember(backend_server, asking_agent)) {
        reply["request_ids"].append(id);
    }
    return reply;
}

template <object_store Store>
Json::Value router<Store>::give_back(const Json::Value& params) {
    Json::Value reply;
    reply["returned"] = 0;
    const std::shared_ptr<session> own_session = current_session();
    if (own_session == nullptr) {
        return reply;
    }
    const std::string budget = string_member(params, "budget");
    const result<tokens> returned = own_session->ledger().give_back(budget, int_member(params, "amount"));
    if (returned) {
        reply["returned"] = Json::Int64(returned.value());
        Json::Value fields;
        fields["budget"] = budget;
        fields["returned"] = reply["returned"];
        log("allowance_given_back", fields);
    }
    return reply;
}

/// Asks the other routers with an allowance of `budget` to return unused tokens. Returns whether any router
/// did.
template <object_store Store>
bool router<Store>::reclaim_allowance(const std::string& budget, tokens amount) {
    const std::shared_ptr<session> own_session = current_session();
    tokens returned = 0;
    for (const std::string& holder : own_session->ledger().other_holders(budget)) {
        const std::optional<router_member> peer = view_.find_router(holder);
        if (!peer || peer->state != member_state::live || returned >= amount) {
            continue;
        }
        Json::Value params;
        params["budget"] = budget;
        params["amount"] = Json::Int64(amount - returned);
        const result<Json::Value> reply =
            call_peer(peer->address, settings_.common.fleet_key, "give_back", params,
                      {std::chrono::milliseconds(200), std::chrono::milliseconds(500)});
        returned += reply ? int_member(reply.value(), "returned") : 0;
    }
    Json::Value fields;
    fields["budget"] = budget;
    fields["wanted"] = Json::Int64(amount);
    fields["returned"] = Json::Int64(returned);
    log("allowance_reclaimed", fields);
    return returned > 0;
}

/// Adopts the configuration with the highest revision that any known router has. The router uses it while the
/// object API is unreachable.
template <object_store Store>
void router<Store>::ask_peers_for_configuration() {
    std::vector<endpoint> peers = settings_.peers;
    for (const router_member& peer : view_.routers()) {
        peers.push_back(peer.address);
    }
    for (const endpoint& peer : peers) {
        if (peer == settings_.common.listen || peer == settings_.common.advertise) {
            continue;
        }
        const result<Json::Value> reply = call_peer(peer, settings_.common.fleet_key, "configuration",
                                                    Json::Value(Json::objectValue), http_timeouts{});
        if (reply && reply.value().isMember("document")) {
            configurations_.offer(reply.value()["document"], "peer");
        }
    }
}

/// Reads the newest configuration from the object API, or from other routers if that fails.
template <object_store Store>
void router<Store>::refresh_configuration() {
    const result<std::optional<configuration>> read = configuration_store<Store>(store_).read();
    if (read && read.value()) {
        configurations_.offer(read.value()->document(), "object API");
        return;
    }
    ask_peers_for_configuration();
}

} // namespace eelgrassgw

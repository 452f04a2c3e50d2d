#include "eelgrassgw/membership/member.h"

#include <array>

namespace eelgrassgw {

namespace {

struct named_state {
    member_state state;
    const char* name;
};

constexpr std::array<named_state, 4> state_names = {{{member_state::live, "live"},
                                                     {member_state::draining, "draining"},
                                                     {member_state::sealed, "sealed"},
                                                     {member_state::closed, "closed"}}};

/// The fields that entries of agents and entries of routers have in common.
struct common_entry {
    Json::Value document;
    endpoint address;
    member_state state = member_state::live;
};

result<common_entry> parse_common_entry(const stored_object& object) {
    const result<Json::Value> document = parse_json(object.value);
    if (!document) {
        return document.error();
    }
    const result<endpoint> address = parse_endpoint(string_member(document.value(), "address"));
    if (!address) {
        return address.error();
    }
    const result<member_state> state = member_state_from_text(string_member(document.value(), "state"));
    if (!state) {
        return state.error();
    }
    return common_entry{document.value(), address.value(), state.value()};
}

failure make_foreign_key_failure(const std::string& key) {
    return make_failure(errc::malformed, "read member entry", "",
                        "object \"" + key + "\" holds an entry that belongs under another key");
}

} // namespace

const char* const agents_prefix = "agents/";
const char* const routers_prefix = "routers/";

const char* to_text(member_state state) {
    return state_names[static_cast<std::size_t>(state)].name;
}

result<member_state> member_state_from_text(const std::string& text) {
    for (const named_state& entry : state_names) {
        if (text == entry.name) {
            return entry.state;
        }
    }
    return make_failure(errc::malformed, "read member state", "", "\"" + text + "\" is no member state");
}

std::string agent_member::to_text() const {
    Json::Value json;
    json["backend_server"] = backend_server;
    json["incarnation"] = incarnation;
    json["address"] = address.text();
    json["data_centre"] = data_centre;
    json["state"] = eelgrassgw::to_text(state);
    json["lost"] = Json::arrayValue;
    for (const lost_incarnation& entry : lost_incarnations) {
        Json::Value item;
        item["incarnation"] = entry.incarnation;
        item["routers"] = Json::arrayValue;
        for (const std::string& router : entry.routers) {
            item["routers"].append(router);
        }
        json["lost"].append(item);
    }
    return eelgrassgw::to_text(json);
}

result<agent_member> agent_member::from_object(const stored_object& object) {
    const result<common_entry> common = parse_common_entry(object);
    if (!common) {
        return common.error();
    }
    const Json::Value& json = common.value().document;
    agent_member agent;
    agent.backend_server = string_member(json, "backend_server");
    agent.incarnation = string_member(json, "incarnation");
    agent.address = common.value().address;
    agent.data_centre = string_member(json, "data_centre");
    agent.state = common.value().state;
    for (const Json::Value& item : member(json, "lost")) {
        agent.lost_incarnations.push_back(
            {string_member(item, "incarnation"), string_elements(member(item, "routers"))});
    }
    agent.version = object.version;
    if (object.key != agent_key(agent.backend_server)) {
        return make_foreign_key_failure(object.key);
    }
    return agent;
}

std::string router_member::to_text() const {
    Json::Value json;
    json["name"] = name;
    json["incarnation"] = incarnation;
    json["address"] = address.text();
    json["data_centre"] = data_centre;
    json["state"] = eelgrassgw::to_text(state);
    json["recovery_note"] = recovery_note;
    return eelgrassgw::to_text(json);
}

result<router_member> router_member::from_object(const stored_object& object) {
    const result<common_entry> common = parse_common_entry(object);
    if (!common) {
        return common.error();
    }
    const Json::Value& json = common.value().document;
    router_member router;
    router.name = string_member(json, "name");
    router.incarnation = string_member(json, "incarnation");
    router.address = common.value().address;
    router.data_centre = string_member(json, "data_centre");
    router.state = common.value().state;
    router.recovery_note = string_member(json, "recovery_note");
    router.version = object.version;
    if (object.key != router_key(router.incarnation)) {
        return make_foreign_key_failure(object.key);
    }
    return router;
}

std::string agent_key(const std::string& backend_server) {
    return agents_prefix + backend_server;
}

std::string router_key(const std::string& incarnation) {
    return routers_prefix + incarnation;
}

bool is_router_key(const std::string& key) {
    constexpr std::size_t id_digits = 16; // The end of an incarnation is a `random_id`.
    const std::size_t dash = key.rfind('-');
    return key.starts_with(routers_prefix) && dash != std::string::npos &&
           key.size() - dash - 1 == id_digits &&
           key.find_first_not_of("0123456789abcdef", dash + 1) == std::string::npos;
}

} // namespace eelgrassgw

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

/// What entries of agents and routers have in common.
struct common_entry {
    Json::Value document;
    endpoint address;
    member_state state = member_state::live;
};

result<common_entry> read_common(const stored_object& object) {
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
    Json::Value to;
    to["backend_server"] = backend_server;
    to["incarnation"] = incarnation;
    to["address"] = address.text();
    to["data_centre"] = data_centre;
    to["state"] = eelgrassgw::to_text(state);
    to["lost"] = Json::arrayValue;
    for (const lost_incarnation& entry : lost) {
        Json::Value item;
        item["incarnation"] = entry.incarnation;
        item["routers"] = Json::arrayValue;
        for (const std::string& router : entry.routers) {
            item["routers"].append(router);
        }
        to["lost"].append(item);
    }
    return eelgrassgw::to_text(to);
}

result<agent_member> agent_member::from_object(const stored_object& object) {
    const result<common_entry> common = read_common(object);
    if (!common) {
        return common.error();
    }
    const Json::Value& from = common.value().document;
    agent_member agent;
    agent.backend_server = string_member(from, "backend_server");
    agent.incarnation = string_member(from, "incarnation");
    agent.address = common.value().address;
    agent.data_centre = string_member(from, "data_centre");
    agent.state = common.value().state;
    for (const Json::Value& item : member(from, "lost")) {
        agent.lost.push_back({string_member(item, "incarnation"), string_elements(member(item, "routers"))});
    }
    agent.version = object.version;
    return agent;
}

std::string router_member::to_text() const {
    Json::Value to;
    to["name"] = name;
    to["incarnation"] = incarnation;
    to["address"] = address.text();
    to["data_centre"] = data_centre;
    to["state"] = eelgrassgw::to_text(state);
    to["recovery_note"] = recovery_note;
    return eelgrassgw::to_text(to);
}

result<router_member> router_member::from_object(const stored_object& object) {
    const result<common_entry> common = read_common(object);
    if (!common) {
        return common.error();
    }
    const Json::Value& from = common.value().document;
    router_member router;
    router.name = string_member(from, "name");
    router.incarnation = string_member(from, "incarnation");
    router.address = common.value().address;
    router.data_centre = string_member(from, "data_centre");
    router.state = common.value().state;
    router.recovery_note = string_member(from, "recovery_note");
    router.version = object.version;
    return router;
}

std::string agent_key(const std::string& backend_server) {
    return agents_prefix + backend_server;
}

std::string router_key(const std::string& incarnation) {
    return routers_prefix + incarnation;
}

} // namespace eelgrassgw

#pragma once

/// Registration entries of agents and routers in the object API.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/platform/object_store.h"
#include "eelgrassgw/transport/http_client.h"

#include <string>
#include <vector>

namespace eelgrassgw {

enum class member_state {
    live,
    draining,
    sealed, ///< Recovery of the router has begun, and the router must not act any more.
    closed, ///< The process has ended, and no billing of its requests is outstanding.
};

const char* to_text(member_state state);

/// Returns true if agents may still run tickets of a router in `state`.
constexpr bool is_open(member_state state) {
    return state == member_state::live || state == member_state::draining;
}

result<member_state> member_state_from_text(const std::string& text);

/// An agent incarnation that was replaced before it closed its entry, so that its records are lost.
struct lost_incarnation {
    std::string incarnation;
    std::vector<std::string> routers; ///< Incarnations of the routers that may have had tickets there.
};

struct agent_member {
    std::string backend_server;
    std::string incarnation;
    endpoint address;
    std::string data_centre;
    member_state state = member_state::live;
    std::vector<lost_incarnation> lost_incarnations;
    object_version version = absent_version; ///< Version of the stored object; it is not part of the value.

    std::string to_text() const;

    /// Fails if the object holds no agent's entry, or one that belongs under another key, such as a copy.
    static result<agent_member> from_object(const stored_object& object);
};

struct router_member {
    std::string name;
    std::string incarnation;
    endpoint address;
    std::string data_centre;
    member_state state = member_state::live;
    std::string recovery_note;               ///< Condition that recovery waits for; empty if there is none.
    object_version version = absent_version; ///< Version of the stored object; it is not part of the value.

    std::string to_text() const;

    /// Fails if the object holds no router's entry, or one that belongs under another key, such as a copy.
    static result<router_member> from_object(const stored_object& object);
};

extern const char* const agents_prefix;
extern const char* const routers_prefix;
std::string agent_key(const std::string& backend_server);
std::string router_key(const std::string& incarnation);

/// Returns whether `key` is one under which routers register.
bool is_router_key(const std::string& key);

} // namespace eelgrassgw

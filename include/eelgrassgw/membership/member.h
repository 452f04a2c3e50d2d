#pragma once

/// Processes of the fleet as registered in the object API.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/platform/object_store.h"
#include "eelgrassgw/transport/http_client.h"

#include <string>
#include <vector>

namespace eelgrassgw {

enum class member_state {
    live,
    draining,
    sealed, ///< A router whose recovery has begun.
    closed, ///< Ended, and nothing of it is left to settle.
};

const char* to_text(member_state state);

/// Whether a router in `state` may still have tickets run.
constexpr bool is_open(member_state state) {
    return state == member_state::live || state == member_state::draining;
}

result<member_state> member_state_from_text(const std::string& text);

/// An agent incarnation that was replaced without having closed, so that its records are lost.
struct lost_incarnation {
    std::string incarnation;
    std::vector<std::string> routers; ///< Incarnations that may have had tickets there.
};

struct agent_member {
    std::string backend_server;
    std::string incarnation;
    endpoint address;
    std::string data_centre;
    member_state state = member_state::live;
    std::vector<lost_incarnation> lost;
    object_version version = absent_version; ///< Of the object; not stored in it.

    std::string to_text() const;
    static result<agent_member> from_object(const stored_object& object);
};

struct router_member {
    std::string name;
    std::string incarnation;
    endpoint address;
    std::string data_centre;
    member_state state = member_state::live;
    std::string recovery_note; ///< What recovery still waits for; empty otherwise.
    object_version version = absent_version;

    std::string to_text() const;
    static result<router_member> from_object(const stored_object& object);
};

extern const char* const agents_prefix;
extern const char* const routers_prefix;
std::string agent_key(const std::string& backend_server);
std::string router_key(const std::string& incarnation);

} // namespace eelgrassgw

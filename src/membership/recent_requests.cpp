#include "eelgrassgw/membership/recent_requests.h"

#include "eelgrassgw/transport/fleet_peer.h"

namespace eelgrassgw {

result<std::vector<std::string>>
ask_recent_requests(const router_member& router, const std::string& fleet_key, const Json::Value& params) {
    const result<Json::Value> reply =
        call_peer(router.address, fleet_key, "recent_requests", params, http_timeouts{});
    if (!reply) {
        return reply.error();
    }
    if (string_member(reply.value(), "router") != router.incarnation) {
        return make_failure(errc::refused, "ask for recent requests", router.address.text(),
                            "router \"" + router.incarnation + "\" was replaced");
    }
    return string_elements(member(reply.value(), "request_ids"));
}

} // namespace eelgrassgw

#include "eelgrassgw/membership/router_registration.h"

namespace eelgrassgw {

std::string heartbeat_key(const std::string& incarnation) {
    return "heartbeats/" + incarnation;
}

} // namespace eelgrassgw

#include "eelgrassgw/configuration/configuration_store.h"

#include <cstdio>

namespace eelgrassgw {

const char* const configuration_key = "configuration/current";

std::string configuration_history_key(configuration_revision revision) {
    char buf[64];
    std::snprintf(buf, sizeof buf, "configuration/history/%010lld", static_cast<long long>(revision));
    return buf;
}

} // namespace eelgrassgw

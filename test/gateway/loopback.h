#pragma once

/// Loopback addresses that no other test process uses.

#include "net/address.h"

#include <unistd.h>

#include <string>

namespace eelgrassgw {

/// An address of this test process: an IP number by the process, a new port at each call.
inline std::string next_loopback_address() {
    static std::uint16_t port = 20000;
    const int pid = getpid();
    const std::string ip = "127." + std::to_string(16 + pid / 62500 % 200) + "." +
                           std::to_string(pid / 250 % 250) + "." + std::to_string(1 + pid % 250);
    return make_address(ip, ++port);
}

} // namespace eelgrassgw

#pragma once

/// Provides loopback addresses that no other running test process uses.

#include "net/address.h"

#include <unistd.h>

#include <string>

namespace eelgrassgw {

/// Returns an unused address of this test process. The IP number is derived from the process id; each call
/// returns a new port.
inline std::string next_loopback_address() {
    static std::uint16_t port = 20000;
    const int pid = getpid();
    const std::string ip = "127." + std::to_string(16 + pid / 62500 % 200) + "." +
                           std::to_string(pid / 250 % 250) + "." + std::to_string(1 + pid % 250);
    return make_address(ip, ++port);
}

} // namespace eelgrassgw

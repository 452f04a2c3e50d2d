#pragma once

/// Parses and builds network addresses of the form "IP:port".

#include "eelgrassgw/base/failure.h"
#include "net/task.h"

#include <cstdint>
#include <string>

namespace eelgrassgw {

/// Parses an address such as "10.1.0.4:8080". The failure quotes the invalid text.
result<tcp::endpoint> parse_address(const std::string& text);

/// Returns the IP address of an address such as "10.1.0.4:8080", or the whole text if it has no port.
std::string extract_host(const std::string& address);

/// Joins an IP address and a port with a colon.
std::string make_address(const std::string& host, std::uint16_t port);

} // namespace eelgrassgw

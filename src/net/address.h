#pragma once

/// Addresses of processes: an IP number and a port.

#include "eelgrassgw/base/failure.h"
#include "net/task.h"

#include <cstdint>
#include <string>

namespace eelgrassgw {

/// Parses "10.1.0.4:8080". The failure names the text.
result<tcp::endpoint> parse_address(const std::string& text);

/// The IP number of "10.1.0.4:8080"; the text itself where it has no port.
std::string extract_host(const std::string& address);

/// Joins an IP number and a port.
std::string make_address(const std::string& host, std::uint16_t port);

} // namespace eelgrassgw

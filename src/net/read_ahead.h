#pragma once

/// How far the clients and servers of the project read ahead of their parsers.

#include <cstddef>

namespace eelgrassgw {

/// Largest number of bytes that are read and not parsed yet. A message whose head, chunk header or trailer
/// exceeds this is rejected.
constexpr std::size_t max_unparsed_bytes = 128U << 10U;

} // namespace eelgrassgw

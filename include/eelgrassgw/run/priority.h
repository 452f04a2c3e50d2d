#pragma once

/// Priorities of requests, which are "high", "normal" and "low".

#include <string>
#include <vector>

namespace eelgrassgw {

/// Returns the names of all priorities, with the most urgent one first.
const std::vector<std::string>& priority_names();

/// Returns the rank of the priority `name`; 0 is the most urgent. An unknown name has the rank of "normal".
int priority_rank(const std::string& name);

} // namespace eelgrassgw

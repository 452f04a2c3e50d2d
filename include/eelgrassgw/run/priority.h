#pragma once

/// Priorities of requests: "high" before "normal" before "low".

#include <string>
#include <vector>

namespace eelgrassgw {

/// All names, the most urgent first.
const std::vector<std::string>& priority_names();

/// The place of `name` in the order, 0 for the most urgent; that of "normal" for a name that does not exist.
int priority_rank(const std::string& name);

} // namespace eelgrassgw

#pragma once

/// Ids of requests.

#include <string>

namespace eelgrassgw {

/// The id of a request: from the customer's own key, the same at every router, or random where
/// `idempotency_key` is empty. Thread-safe.
std::string request_id_for(const std::string& customer, const std::string& idempotency_key);

/// Whether `request_id` comes from a caller's own key.
bool has_caller_key(const std::string& request_id);

} // namespace eelgrassgw

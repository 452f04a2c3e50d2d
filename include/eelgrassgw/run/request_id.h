#pragma once

/// Creation and classification of request ids.

#include <string>

namespace eelgrassgw {

/// Returns the id of a request. It is a hash of the customer and the idempotency key, so that every router
/// computes the same id, or a random id if `idempotency_key` is empty. Thread-safe.
std::string request_id_for(const std::string& customer, const std::string& idempotency_key);

/// Returns true if `request_id` was made from an idempotency key of the caller.
bool has_caller_key(const std::string& request_id);

} // namespace eelgrassgw

#include "eelgrassgw/run/request_id.h"

#include "eelgrassgw/base/hash.h"

namespace eelgrassgw {

namespace {

constexpr const char* random_prefix = "r-";
constexpr const char* caller_key_prefix = "k-";
constexpr std::size_t key_hash_digits = 32;

} // namespace

std::string request_id_for(const std::string& customer, const std::string& idempotency_key) {
    if (idempotency_key.empty()) {
        return random_prefix + random_id() + random_id();
    }
    return caller_key_prefix + sha256_hex(customer + "\n" + idempotency_key).substr(0, key_hash_digits);
}

bool has_caller_key(const std::string& request_id) {
    return request_id.starts_with(caller_key_prefix);
}

} // namespace eelgrassgw

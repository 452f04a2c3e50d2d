#include "eelgrassgw/run/request_id.h"

#include "eelgrassgw/base/hash.h"

namespace eelgrassgw {

namespace {

constexpr const char* random_prefix = "r-";
constexpr const char* key_prefix = "k-";
constexpr std::size_t key_digits = 32;

} // namespace

std::string request_id_for(const std::string& customer, const std::string& idempotency_key) {
    if (idempotency_key.empty()) {
        return random_prefix + random_id() + random_id();
    }
    return key_prefix + sha256_hex(customer + "\n" + idempotency_key).substr(0, key_digits);
}

bool has_caller_key(const std::string& request_id) {
    return request_id.starts_with(key_prefix);
}

} // namespace eelgrassgw

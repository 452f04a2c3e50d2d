#pragma once

/// Identifiers, digests and message authentication.

#include <cstdint>
#include <string>

namespace eelgrassgw {

/// A random identifier of 16 lower-case hexadecimal digits. Thread-safe.
std::string random_id();

/// Makes this thread's `random_below` repeatable, for benches. `random_id` stays random.
void seed_random_numbers(std::uint64_t seed);

/// A random number in [0, bound). Precondition: bound > 0. Thread-safe.
std::uint64_t random_below(std::uint64_t bound);

/// A fast hash for placement; the same on every machine. Not for secrets. Thread-safe.
std::uint64_t stable_hash(const std::string& text);

/// SHA-256 of `text` in lower-case hexadecimal digits. Thread-safe.
std::string sha256_hex(const std::string& text);

/// HMAC-SHA-256 of `text` under `key` in lower-case hexadecimal digits. Thread-safe.
std::string hmac_sha256_hex(const std::string& key, const std::string& text);

/// Compares in a time that depends on the lengths alone. Thread-safe.
bool equal_in_constant_time(const std::string& a, const std::string& b);

} // namespace eelgrassgw

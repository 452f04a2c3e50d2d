#pragma once

/// Random identifiers, hashes, digests and message authentication codes.

#include <cstdint>
#include <string>

namespace eelgrassgw {

/// Returns a random identifier of 16 lower-case hexadecimal digits. Thread-safe.
std::string random_id();

/// Seeds this thread's generator so that `random_below` is repeatable in benchmarks. Does not affect
/// `random_id`.
void seed_random_numbers(std::uint64_t seed);

/// Returns a random number in [0, bound). Precondition: bound > 0. Thread-safe.
std::uint64_t random_below(std::uint64_t bound);

/// Returns a fast hash for placement decisions, which is the same on every machine. It is not cryptographic.
/// Thread-safe.
std::uint64_t stable_hash(const std::string& text);

/// Returns the SHA-256 of `text` in lower-case hexadecimal digits. Thread-safe.
std::string sha256_hex(const std::string& text);

/// Returns the HMAC-SHA-256 of `text` under `key` in lower-case hexadecimal digits. Thread-safe.
std::string hmac_sha256_hex(const std::string& key, const std::string& text);

/// Returns whether `a` equals `b`, in a time that depends only on their lengths. Thread-safe.
bool equal_in_constant_time(const std::string& a, const std::string& b);

} // namespace eelgrassgw

#include "eelgrassgw/base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <random>

namespace eelgrassgw {

namespace {

std::string to_hex(const unsigned char* bytes, std::size_t n) {
    static const char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * n);
    for (std::size_t i = 0; i < n; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0xFU];
    }
    return text;
}

std::mt19937_64& generator() {
    thread_local std::mt19937_64 thread_generator{std::random_device{}()};
    return thread_generator;
}

} // namespace

std::string random_id() {
    std::array<unsigned char, 8> buf{};
    RAND_bytes(buf.data(), static_cast<int>(buf.size()));
    return to_hex(buf.data(), buf.size());
}

void seed_random_numbers(std::uint64_t seed) {
    generator().seed(seed);
}

std::uint64_t random_below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(generator());
}

std::uint64_t stable_hash(const std::string& text) {
    return XXH64(text.data(), text.size(), 0);
}

std::string sha256_hex(const std::string& text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &n, EVP_sha256(), nullptr);
    return to_hex(digest.data(), n);
}

std::string hmac_sha256_hex(const std::string& key, const std::string& text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    const auto* data = reinterpret_cast<const unsigned char*>(text.data());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, text.size(), digest.data(), &n);
    return to_hex(digest.data(), n);
}

bool equal_in_constant_time(const std::string& a, const std::string& b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace eelgrassgw

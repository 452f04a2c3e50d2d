#pragma once

/// The stand-in engine's answer to a prompt, also known to the checker.

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdlib>
#include <string>

namespace eelgrassgw::stand_in {

/// Milliseconds of the system clock, which all processes of one machine share.
inline std::int64_t now_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

inline std::string prompt_text(const Json::Value& messages) {
    std::string text;
    for (const Json::Value& message : messages) {
        text += string_member(message, "content") + "\n";
    }
    return text;
}

inline tokens prompt_token_count(const std::string& prompt) {
    constexpr std::size_t bytes_per_token = 4;
    return static_cast<tokens>(prompt.size() / bytes_per_token + 1);
}

/// Tokens of the whole answer: what "LENGTH=n" in the prompt asks for, else 5 to 44.
inline tokens answer_length(const std::string& prompt) {
    const std::size_t at = prompt.find("LENGTH=");
    if (at != std::string::npos) {
        return std::strtoll(prompt.c_str() + at + 7, nullptr, 10);
    }
    return static_cast<tokens>(5 + stable_hash(prompt) % 40);
}

inline std::string answer_token(const std::string& prompt, tokens i) {
    return sha256_hex(prompt).substr(0, 6) + "-" + std::to_string(i) + " ";
}

/// The first `n` tokens of the answer.
inline std::string answer_text(const std::string& prompt, tokens n) {
    std::string text;
    for (tokens i = 0; i < n; ++i) {
        text += answer_token(prompt, i);
    }
    return text;
}

} // namespace eelgrassgw::stand_in

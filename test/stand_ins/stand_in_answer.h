#pragma once

/// Defines the stand-in engine's answer to a prompt, which the checker of the system tests computes as well.

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdlib>
#include <string>

namespace eelgrassgw::stand_in {

/// Returns the milliseconds since the epoch by the system clock, which all processes on a machine share.
inline std::int64_t now_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Returns the contents of all messages, each followed by a newline.
inline std::string prompt_text(const Json::Value& messages) {
    std::string text;
    for (const Json::Value& message : messages) {
        text += string_member(message, "content") + "\n";
    }
    return text;
}

/// Returns the number of tokens in a prompt, estimated from its length.
inline tokens prompt_token_count(const std::string& prompt) {
    constexpr std::size_t bytes_per_token = 4;
    return static_cast<tokens>(prompt.size() / bytes_per_token + 1);
}

/// Returns the number of tokens in the complete answer: n if the prompt contains "LENGTH=n", otherwise 5 to
/// 44 depending on the hash of the prompt.
inline tokens answer_length(const std::string& prompt) {
    const std::size_t marker = prompt.find("LENGTH=");
    if (marker != std::string::npos) {
        return std::strtoll(prompt.c_str() + marker + 7, nullptr, 10);
    }
    return static_cast<tokens>(5 + stable_hash(prompt) % 40);
}

/// Returns token number `index` of the answer, counted from 0. Each token contains a hash of the prompt, so
/// that it shows which prompt it answers.
inline std::string answer_token(const std::string& prompt, tokens index) {
    return sha256_hex(prompt).substr(0, 6) + "-" + std::to_string(index) + " ";
}

/// Returns the first `count` tokens of the answer.
inline std::string answer_text(const std::string& prompt, tokens count) {
    std::string text;
    for (tokens i = 0; i < count; ++i) {
        text += answer_token(prompt, i);
    }
    return text;
}

} // namespace eelgrassgw::stand_in

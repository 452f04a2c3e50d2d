#include "backends/backend_server.h"

#include <algorithm>

namespace eelgrassgw {

bool is_valid_server_id(std::string_view id) {
    constexpr std::size_t max_bytes = 256;
    constexpr std::string_view marks = "-._~:@";
    const auto is_allowed = [&](char c) {
        const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool is_digit = c >= '0' && c <= '9';
        return is_letter || is_digit || marks.find(c) != std::string_view::npos;
    };
    return !id.empty() && id.size() <= max_bytes && std::all_of(id.begin(), id.end(), is_allowed);
}

} // namespace eelgrassgw

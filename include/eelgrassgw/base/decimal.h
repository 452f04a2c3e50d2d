#pragma once

/// Recognises decimal numbers in the keys of objects.

#include <string_view>

namespace eelgrassgw {

/// Returns whether `text` consists of decimal digits only, and of at least `min_digits` of them.
constexpr bool is_decimal(std::string_view text, std::size_t min_digits = 1) {
    return text.size() >= min_digits && text.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace eelgrassgw

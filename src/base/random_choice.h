#pragma once

/// Chooses random elements of a list.

#include "eelgrassgw/base/hash.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace eelgrassgw {

/// Moves `n` random elements of the list to its front and drops the others.
template <class T>
void keep_random(std::vector<T>& list, std::size_t n) {
    for (std::size_t i = 0; i < std::min(n, list.size()); ++i) {
        std::swap(list[i], list[i + random_below(list.size() - i)]);
    }
    list.resize(std::min(n, list.size()));
}

} // namespace eelgrassgw

#include "retries/backoff.h"

#include "eelgrassgw/base/hash.h"

#include <algorithm>

namespace eelgrassgw {

backoff::milliseconds backoff::next_delay() {
    const milliseconds length = next_;
    next_ = std::min(2 * next_, maximum_);
    const milliseconds half = length / 2;
    return half + milliseconds(random_below(std::uint64_t((length - half).count()) + 1));
}

} // namespace eelgrassgw

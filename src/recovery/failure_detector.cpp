#include "eelgrassgw/recovery/failure_detector.h"

#include <algorithm>

namespace eelgrassgw {

std::vector<std::string> ring_successors(const std::string& self, std::vector<std::string> open_incarnations,
                                         std::size_t count) {
    std::erase(open_incarnations, self);
    std::sort(open_incarnations.begin(), open_incarnations.end());
    const auto begin = std::upper_bound(open_incarnations.begin(), open_incarnations.end(), self);
    std::rotate(open_incarnations.begin(), begin, open_incarnations.end());
    open_incarnations.resize(std::min(count, open_incarnations.size()));
    return open_incarnations;
}

} // namespace eelgrassgw

#include "eelgrassgw/run/priority.h"

#include <algorithm>

namespace eelgrassgw {

const std::vector<std::string>& priority_names() {
    static const std::vector<std::string> names = {"high", "normal", "low"};
    return names;
}

int priority_rank(const std::string& name) {
    constexpr int normal_rank = 1;
    const std::vector<std::string>& names = priority_names();
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? normal_rank : static_cast<int>(it - names.begin());
}

} // namespace eelgrassgw

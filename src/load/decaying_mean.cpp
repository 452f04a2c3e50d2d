#include "load/decaying_mean.h"

#include <algorithm>
#include <cmath>

namespace eelgrassgw {

void decaying_mean::add(double total, double weight, time_point now) {
    sum_ = at(now);
    sum_.total += total;
    sum_.weight += weight;
    updated_at_ = std::max(updated_at_, now);
}

weighted_sum decaying_mean::at(time_point now) const {
    if (sum_.weight == 0 || now <= updated_at_) {
        return sum_;
    }
    const std::chrono::duration<double> age = now - updated_at_;
    const double kept = std::exp(-(age / std::chrono::duration<double>(decay_time_)));
    return {sum_.total * kept, sum_.weight * kept};
}

} // namespace eelgrassgw

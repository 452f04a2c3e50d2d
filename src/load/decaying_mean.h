#pragma once

/// A weighted mean in which samples lose weight with their age.

#include <chrono>

namespace eelgrassgw {

/// A sum of values and of their weights.
struct weighted_sum {
    double total = 0;
    double weight = 0;

    /// Returns the mean if `prior` counts as a sample with `prior_weight`. Precondition: one of the weights
    /// is positive.
    double mean(double prior, double prior_weight) const {
        return (total + prior * prior_weight) / (weight + prior_weight);
    }
};

/// Sums samples whose weight falls to 1/e within the decay time. Not thread-safe.
class decaying_mean {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Precondition: `decay_time` is positive.
    explicit decaying_mean(std::chrono::milliseconds decay_time) : decay_time_(decay_time) {}

    /// Adds a sample: `total` is the sum of the values of `weight` units.
    void add(double total, double weight, time_point now);

    /// Returns the sums as of `now`.
    weighted_sum at(time_point now) const;

private:
    std::chrono::milliseconds decay_time_;
    weighted_sum sum_;
    time_point updated_at_{};
};

} // namespace eelgrassgw

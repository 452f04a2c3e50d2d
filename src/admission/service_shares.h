#pragma once

/// Finds customers, kinds of requests and prompt parts that are served too rarely.

#include "admission/admission_request.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Counts, over the last seconds, which of the decided requests were served, by customer, route, shared
/// prompt part and size. A group that was served less than half as often as all requests (three quarters for
/// the large requests of a route, compared with the route) is behind, and its requests get precedence until
/// it has caught up. The floors of the specification are a quarter and a half; the distance to them is what a
/// group may lose before the precedence takes effect. Not thread-safe.
class service_shares {
public:
    using clock = admission_request::clock;

    /// Time in which a decision loses half of its weight.
    static constexpr std::chrono::milliseconds half_life{10000};

    /// A group is judged from this weight of decisions on, so that one refusal does not give precedence.
    static constexpr double min_decisions = 4;

    static constexpr double min_share_of_all = 0.5;
    static constexpr double min_share_of_large = 0.75;

    /// Largest number of groups. Groups beyond it are not counted; lapsed ones make room.
    static constexpr std::size_t max_groups = 2048;

    /// Notes the size of a request, so that the largest tenth of its route is known.
    void note_size(const admission_request& request);

    /// Counts a request that was served, or that was refused.
    void note_decision(const admission_request& request, bool served, clock::time_point now);

    /// Returns whether a group of the request is behind.
    bool is_behind(const admission_request& request, clock::time_point now) const;

private:
    struct counts {
        double decided = 0;
        double served = 0;
        clock::time_point updated{};
    };
    /// Sizes of the latest requests of a route, of which the largest tenth counts as large.
    struct recent_sizes {
        std::vector<std::int64_t> sizes;
        std::size_t next = 0;
        std::int64_t large_from = 0; ///< Size from which a request is large; 0 if not known.
    };

    static std::vector<std::string> groups_of(const admission_request& request);
    static double weight_of(clock::time_point updated, clock::time_point now);
    static std::string large_group_of(const admission_request& request) { return "large:" + request.route; }
    bool is_large(const admission_request& request) const;
    void add(const std::string& group, bool served, clock::time_point now);
    bool is_below(const std::string& group, const std::string& reference, double share,
                  clock::time_point now) const;

    std::map<std::string, counts> groups_;
    std::map<std::string, recent_sizes> sizes_; ///< By route.
};

} // namespace eelgrassgw

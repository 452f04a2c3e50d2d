#include "admission/service_shares.h"

#include <algorithm>
#include <cmath>

namespace eelgrassgw {

namespace {

const std::string all_requests = "all";

// Number of latest requests of a route of which the largest tenth is taken. Below the minimum, none is large.
constexpr std::size_t max_sizes = 100;
constexpr std::size_t min_sizes = 20;
constexpr std::size_t sizes_between_updates = 10;

// Weight below which a group is forgotten.
constexpr double negligible_weight = 0.1;

/// Returns the size from which a request belongs to the largest tenth; 0 if all have the same size. If the
/// tenth begins among many requests of one size, those do not belong to it.
std::int64_t find_large_from(std::vector<std::int64_t> sizes) {
    std::sort(sizes.begin(), sizes.end());
    const std::size_t tenth = sizes.size() / 10;
    const std::int64_t size = sizes[sizes.size() - tenth];
    const auto first_of_size = std::lower_bound(sizes.begin(), sizes.end(), size);
    if (std::size_t(sizes.end() - first_of_size) <= 2 * tenth) {
        return size;
    }
    const auto next_size = std::upper_bound(first_of_size, sizes.end(), size);
    return next_size == sizes.end() ? 0 : *next_size;
}

} // namespace

std::vector<std::string> service_shares::groups_of(const admission_request& request) {
    std::vector<std::string> groups = {"route:" + request.route};
    if (!request.customer.empty()) {
        groups.push_back("customer:" + request.customer);
    }
    if (!request.shared_part.empty()) {
        groups.push_back("part:" + request.shared_part);
    }
    return groups;
}

double service_shares::weight_of(clock::time_point updated, clock::time_point now) {
    const std::chrono::duration<double> age = now - updated;
    return std::exp2(-age / std::chrono::duration<double>(half_life));
}

void service_shares::note_size(const admission_request& request) {
    recent_sizes& recent = sizes_[request.route];
    if (recent.sizes.size() < max_sizes) {
        recent.sizes.push_back(request.work());
    } else {
        recent.sizes[recent.next] = request.work();
    }
    recent.next = (recent.next + 1) % max_sizes;
    if (recent.sizes.size() >= min_sizes && recent.next % sizes_between_updates == 0) {
        recent.large_from = find_large_from(recent.sizes);
    }
}

bool service_shares::is_large(const admission_request& request) const {
    const auto it = sizes_.find(request.route);
    return it != sizes_.end() && it->second.large_from > 0 && request.work() >= it->second.large_from;
}

void service_shares::add(const std::string& group, bool served, clock::time_point now) {
    if (groups_.size() >= max_groups && !groups_.contains(group)) {
        std::erase_if(groups_, [&](const auto& each) {
            return each.second.decided * weight_of(each.second.updated, now) < negligible_weight;
        });
        if (groups_.size() >= max_groups) {
            return;
        }
    }
    counts& known = groups_[group];
    const double weight = weight_of(known.updated, now);
    known.decided = known.decided * weight + 1;
    known.served = known.served * weight + (served ? 1 : 0);
    known.updated = now;
}

void service_shares::note_decision(const admission_request& request, bool served, clock::time_point now) {
    add(all_requests, served, now);
    for (const std::string& group : groups_of(request)) {
        add(group, served, now);
    }
    if (is_large(request)) {
        add(large_group_of(request), served, now);
    }
}

bool service_shares::is_below(const std::string& group, const std::string& reference, double share,
                              clock::time_point now) const {
    const auto own = groups_.find(group);
    const auto other = groups_.find(reference);
    if (own == groups_.end() || other == groups_.end() ||
        own->second.decided * weight_of(own->second.updated, now) < min_decisions) {
        return false;
    }
    return own->second.served / own->second.decided < share * other->second.served / other->second.decided;
}

bool service_shares::is_behind(const admission_request& request, clock::time_point now) const {
    const std::vector<std::string> groups = groups_of(request);
    const bool group_behind = std::any_of(groups.begin(), groups.end(), [&](const std::string& group) {
        return is_below(group, all_requests, min_share_of_all, now);
    });
    return group_behind || (is_large(request) && is_below(large_group_of(request), "route:" + request.route,
                                                          min_share_of_large, now));
}

} // namespace eelgrassgw

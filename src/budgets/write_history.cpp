#include "budgets/write_history.h"

#include <algorithm>
#include <utility>

namespace eelgrassgw {

namespace {

void add_changes(std::map<std::string, tokens>& sum, const std::map<std::string, tokens>& changes) {
    for (const auto& [customer, amount] : changes) {
        sum[customer] += amount;
    }
}

} // namespace

void write_history::add(std::uint64_t sequence, std::map<std::string, tokens> changes,
                        clock::time_point now) {
    recent_.push_back({sequence, std::move(changes), now});
    const auto first_kept = std::find_if(recent_.begin(), recent_.end(), [&](const applied_write& each) {
        return now - each.applied_at <= retention;
    });
    for (auto it = recent_.begin(); it != first_kept; ++it) {
        older_.sequence = it->sequence;
        add_changes(older_.changes, it->changes);
    }
    recent_.erase(recent_.begin(), first_kept);
}

std::map<std::string, tokens> write_history::sum_after(std::uint64_t sequence) const {
    std::map<std::string, tokens> sum;
    if (older_.sequence > sequence) {
        sum = older_.changes;
    }
    for (const applied_write& each : recent_) {
        if (each.sequence > sequence) {
            add_changes(sum, each.changes);
        }
    }
    return sum;
}

} // namespace eelgrassgw

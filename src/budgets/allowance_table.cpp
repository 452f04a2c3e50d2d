#include "budgets/allowance_table.h"

#include <algorithm>
#include <cmath>

namespace eelgrassgw {

namespace {

constexpr double demand_memory_ms = 2000; // Time constant of the average of demand.
constexpr tokens idle_margin = 2000;      // Tokens that may lie idle rather than cost a write.

double elapsed_ms(allowance_table::clock::time_point from, allowance_table::clock::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// Whether an allowance is due for a refill up to `target`, while demand uses up `during_refill`.
bool is_low(tokens available, tokens target, double during_refill) {
    constexpr tokens part =
        5; // Of the target. Refills near the end lose less with a router, and cost fewer writes.
    const auto most_used = target / 2; // A small allowance is not refilled all the time.
    return available < target / part + std::min(static_cast<tokens>(during_refill), most_used);
}

} // namespace

bool allowance_table::reserve(const std::string& customer, tokens amount) {
    account& of = accounts_[customer];
    if (of.available < amount) {
        return false;
    }
    of.available -= amount;
    of.reserved += amount;
    return true;
}

void allowance_table::settle(const std::string& customer, tokens reserved, tokens used) {
    account& of = accounts_[customer];
    of.reserved -= reserved;
    of.available += reserved - used;
}

void allowance_table::note_demand(const std::string& customer, tokens amount, clock::time_point now) {
    account& of = accounts_[customer];
    const double kept = std::exp(-elapsed_ms(of.demand_at, now) / demand_memory_ms);
    of.recent_demand = of.recent_demand * kept + static_cast<double>(amount);
    of.demand_at = now;
}

void allowance_table::note_waiting(const std::string& customer, tokens amount) {
    accounts_[customer].waiting += amount;
}

void allowance_table::add(const std::string& customer, tokens amount) {
    accounts_[customer].available += amount;
}

tokens allowance_table::available(const std::string& customer) const {
    const account* of = find(customer);
    return of == nullptr ? 0 : of->available;
}

tokens allowance_table::reserved(const std::string& customer) const {
    const account* of = find(customer);
    return of == nullptr ? 0 : of->reserved;
}

bool allowance_table::runs_low(const std::string& customer, std::chrono::milliseconds covered,
                               clock::time_point now) const {
    const account* of = find(customer);
    if (of == nullptr) {
        return false;
    }
    const double per_ms = demand_per_ms(*of, now);
    const double full = per_ms * double((policy_.horizon + covered).count());
    return is_low(of->available, static_cast<tokens>(full), per_ms * double(covered.count()));
}

allowance_change allowance_table::wanted_change(const std::string& customer, tokens unspent, int routers,
                                                std::chrono::milliseconds covered,
                                                clock::time_point now) const {
    const account* of = find(customer);
    if (of == nullptr) {
        return {};
    }
    const tokens free = std::max<tokens>(unspent, 0);
    const double per_ms = demand_per_ms(*of, now);
    const double share = policy_.largest_share * double(free) / routers;
    const double full = std::min(per_ms * double((policy_.horizon + covered).count()), share);
    const auto target = static_cast<tokens>(full) + of->waiting;
    if (of->available < target) {
        const tokens amount = std::min(target - of->available, free);
        const bool low =
            of->available < of->waiting || is_low(of->available, target, per_ms * double(covered.count()));
        return {amount, low && amount > 0};
    }
    const double scarce = unspent < 0 ? 0 : per_ms * double(policy_.scarce_horizon.count());
    const auto most = static_cast<tokens>(std::max(full, scarce)) + of->waiting;
    const tokens margin = unspent < 0 ? 0 : std::max(most, idle_margin);
    return of->available > most + margin ? allowance_change{most - of->available, true} : allowance_change{};
}

std::map<std::string, tokens> allowance_table::all_available() const {
    std::map<std::string, tokens> all;
    for (const auto& [customer, of] : accounts_) {
        all[customer] = of.available;
    }
    return all;
}

const allowance_table::account* allowance_table::find(const std::string& customer) const {
    const auto it = accounts_.find(customer);
    return it == accounts_.end() ? nullptr : &it->second;
}

double allowance_table::demand_per_ms(const account& of, clock::time_point now) const {
    return of.recent_demand * std::exp(-elapsed_ms(of.demand_at, now) / demand_memory_ms) / demand_memory_ms;
}

} // namespace eelgrassgw

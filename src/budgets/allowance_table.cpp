#include "budgets/allowance_table.h"

#include <algorithm>
#include <cmath>

namespace eelgrassgw {

namespace {

constexpr double demand_decay_ms = 2000;   // Time constant of the exponential decay of recorded demand.
constexpr tokens max_unused_excess = 2000; // Excess tokens up to which returning them is not worth a write.

double elapsed_ms(allowance_table::clock::time_point from, allowance_table::clock::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// Returns whether an allowance needs a refill up to `target`, if `used_during_refill` tokens are expected to
/// be used before the refill arrives.
bool is_low(tokens available, tokens target, double used_during_refill) {
    // Refills start when a fifth of the target is left: late refills need fewer writes, and a router that
    // crashes loses fewer tokens.
    constexpr tokens refill_divisor = 5;
    const auto max_used = target / 2; // Without this limit, a small allowance would be refilled continuously.
    return available < target / refill_divisor + std::min(static_cast<tokens>(used_during_refill), max_used);
}

} // namespace

bool allowance_table::reserve(const std::string& customer, tokens amount) {
    account& customer_account = accounts_[customer];
    if (customer_account.available < amount) {
        return false;
    }
    customer_account.available -= amount;
    customer_account.reserved += amount;
    return true;
}

void allowance_table::settle(const std::string& customer, tokens reserved, tokens used) {
    account& customer_account = accounts_[customer];
    customer_account.reserved -= reserved;
    customer_account.available += reserved - used;
    customer_account.charged += used;
}

void allowance_table::add_consumed_tokens(const std::string& customer, tokens amount) {
    accounts_[customer].consumed += amount;
}

held_tokens allowance_table::total() const {
    held_tokens sum;
    for (const auto& [customer, customer_account] : accounts_) {
        sum.available += customer_account.available;
        sum.reserved += customer_account.reserved;
        sum.consumed += customer_account.consumed;
        sum.charged += customer_account.charged;
    }
    sum.taken = sum.available + sum.reserved + sum.charged;
    return sum;
}

void allowance_table::record_demand(const std::string& customer, tokens amount, clock::time_point now) {
    account& customer_account = accounts_[customer];
    const double remaining_fraction =
        std::exp(-elapsed_ms(customer_account.demand_at, now) / demand_decay_ms);
    customer_account.recent_demand =
        customer_account.recent_demand * remaining_fraction + static_cast<double>(amount);
    customer_account.demand_at = now;
}

void allowance_table::add_waiting_tokens(const std::string& customer, tokens amount) {
    accounts_[customer].waiting += amount;
}

void allowance_table::add(const std::string& customer, tokens amount) {
    accounts_[customer].available += amount;
}

tokens allowance_table::available(const std::string& customer) const {
    const account* customer_account = find(customer);
    return customer_account == nullptr ? 0 : customer_account->available;
}

tokens allowance_table::reserved(const std::string& customer) const {
    const account* customer_account = find(customer);
    return customer_account == nullptr ? 0 : customer_account->reserved;
}

bool allowance_table::runs_low(const std::string& customer, std::chrono::milliseconds refill_duration,
                               clock::time_point now) const {
    const account* customer_account = find(customer);
    if (customer_account == nullptr) {
        return false;
    }
    const double tokens_per_ms = demand_per_ms(*customer_account, now);
    const double full_allowance = tokens_per_ms * double((policy_.horizon + refill_duration).count());
    return is_low(customer_account->available, static_cast<tokens>(full_allowance),
                  tokens_per_ms * double(refill_duration.count()));
}

allowance_change allowance_table::wanted_change(const std::string& customer, tokens unspent, int routers,
                                                std::chrono::milliseconds refill_duration,
                                                clock::time_point now) const {
    const account* customer_account = find(customer);
    if (customer_account == nullptr) {
        return {};
    }
    const tokens grantable = std::max<tokens>(unspent, 0);
    if (grantable < policy_.scarce_tokens_per_router * routers) {
        return scarce_change(*customer_account, grantable);
    }
    const double tokens_per_ms = demand_per_ms(*customer_account, now);
    const double max_share = policy_.max_unspent_share * double(grantable) / routers;
    const double full_allowance =
        std::min(tokens_per_ms * double((policy_.horizon + refill_duration).count()), max_share);
    const auto target = static_cast<tokens>(full_allowance) + customer_account->waiting;
    if (customer_account->available < target) {
        const tokens amount = std::min(target - customer_account->available, grantable);
        const bool low =
            customer_account->available < customer_account->waiting ||
            is_low(customer_account->available, target, tokens_per_ms * double(refill_duration.count()));
        return {amount, low && amount > 0};
    }
    const double scarce_allowance = unspent < 0 ? 0 : tokens_per_ms * double(policy_.scarce_horizon.count());
    const auto max_kept =
        static_cast<tokens>(std::max(full_allowance, scarce_allowance)) + customer_account->waiting;
    const tokens tolerated_excess = unspent < 0 ? 0 : std::max(max_kept, max_unused_excess);
    const bool is_excessive = customer_account->available > max_kept + tolerated_excess;
    return customer_account->available > max_kept
               ? allowance_change::toward(max_kept, customer_account->available, is_excessive)
               : allowance_change{};
}

/// Returns the change for a customer whose budget is scarce: take what waiting requests need, return the
/// rest.
allowance_change allowance_table::scarce_change(const account& customer_account, tokens grantable) {
    const tokens target = std::min(customer_account.waiting, customer_account.available + grantable);
    return allowance_change::toward(target, customer_account.available, true);
}

std::map<std::string, tokens> allowance_table::available_by_customer() const {
    std::map<std::string, tokens> available_tokens;
    for (const auto& [customer, customer_account] : accounts_) {
        available_tokens[customer] = customer_account.available;
    }
    return available_tokens;
}

const allowance_table::account* allowance_table::find(const std::string& customer) const {
    const auto it = accounts_.find(customer);
    return it == accounts_.end() ? nullptr : &it->second;
}

double allowance_table::demand_per_ms(const account& customer_account, clock::time_point now) const {
    return customer_account.recent_demand *
           std::exp(-elapsed_ms(customer_account.demand_at, now) / demand_decay_ms) / demand_decay_ms;
}

} // namespace eelgrassgw

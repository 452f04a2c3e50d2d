#include "eelgrassgw/ledger/allowance_book.h"

#include <algorithm>
#include <cmath>

namespace eelgrassgw {

namespace {

constexpr double rate_window_seconds = 10;

double decay_tokens(double recent_tokens, steady_time last_used, steady_time now) {
    const double age = std::chrono::duration<double>(now - last_used).count();
    return recent_tokens * std::exp(-std::max(age, 0.0) / rate_window_seconds);
}

} // namespace

bool allowance_book::reserve(const std::string& budget, tokens amount, steady_time now) {
    const std::lock_guard lock(mutex_);
    entry& budget_entry = entries_[budget];
    if (budget_entry.state.available() < amount) {
        return false;
    }
    budget_entry.state.reserved += amount;
    budget_entry.recent_tokens =
        decay_tokens(budget_entry.recent_tokens, budget_entry.last_used, now) + static_cast<double>(amount);
    budget_entry.last_used = now;
    return true;
}

void allowance_book::settle(const std::string& budget, tokens reserved, tokens used) {
    const std::lock_guard lock(mutex_);
    allowance_state& state = entries_[budget].state;
    state.reserved -= reserved;
    state.spent += used;
}

void allowance_book::add_grant(const std::string& budget, tokens amount) {
    const std::lock_guard lock(mutex_);
    entries_[budget].state.granted += amount;
}

tokens allowance_book::withdraw_available(const std::string& budget, tokens amount) {
    const std::lock_guard lock(mutex_);
    allowance_state& state = entries_[budget].state;
    const tokens taken = std::clamp<tokens>(amount, 0, std::max<tokens>(state.available(), 0));
    state.granted -= taken;
    return taken;
}

void allowance_book::remove_folded(const std::string& budget, tokens amount) {
    const std::lock_guard lock(mutex_);
    allowance_state& state = entries_[budget].state;
    state.granted -= amount;
    state.spent -= amount;
}

allowance_state allowance_book::state(const std::string& budget) const {
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(budget);
    return it == entries_.end() ? allowance_state{} : it->second.state;
}

std::vector<std::string> allowance_book::budgets() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [name, budget_entry] : entries_) {
        names.push_back(name);
    }
    return names;
}

double allowance_book::spend_rate_per_second(const std::string& budget, steady_time now) const {
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(budget);
    if (it == entries_.end()) {
        return 0;
    }
    return decay_tokens(it->second.recent_tokens, it->second.last_used, now) / rate_window_seconds;
}

tokens allowance_book::idle_tokens(const std::string& budget, std::chrono::seconds keep_for,
                                   steady_time idle_since, steady_time now) const {
    const double rate = spend_rate_per_second(budget, now);
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(budget);
    if (it == entries_.end() || it->second.last_used > idle_since) {
        return 0;
    }
    const auto tokens_to_keep = static_cast<tokens>(rate * static_cast<double>(keep_for.count()));
    return std::max<tokens>(it->second.state.available() - tokens_to_keep, 0);
}

} // namespace eelgrassgw

#include "eelgrassgw/ledger/ledger_shard.h"

#include "eelgrassgw/base/decimal.h"
#include "eelgrassgw/base/hash.h"

#include <cstdio>

namespace eelgrassgw {

namespace {

failure refused(const std::string& step, const std::string& message) {
    return make_failure(errc::refused, step, "", message);
}

budget_account read_account(const Json::Value& from) {
    budget_account account;
    account.customer = string_member(from, "customer");
    account.paid = int_member(from, "paid");
    account.settled = int_member(from, "settled");
    account.withheld = int_member(from, "withheld");
    const Json::Value& top_ups = member(from, "top_ups");
    for (const std::string& id : top_ups.getMemberNames()) {
        account.top_ups[id] = top_ups[id].asInt64();
    }
    return account;
}

Json::Value write_account(const budget_account& account) {
    Json::Value to;
    to["customer"] = account.customer;
    to["paid"] = Json::Int64(account.paid);
    to["settled"] = Json::Int64(account.settled);
    to["withheld"] = Json::Int64(account.withheld);
    to["top_ups"] = Json::objectValue;
    for (const auto& [id, amount] : account.top_ups) {
        to["top_ups"][id] = Json::Int64(amount);
    }
    return to;
}

allowance_holder read_holder(const Json::Value& from) {
    allowance_holder holder;
    holder.operation = static_cast<std::uint64_t>(int_member(from, "operation"));
    holder.folded_through = int_member(from, "folded_through", -1);
    const Json::Value& allowances = member(from, "allowances");
    for (const std::string& budget : allowances.getMemberNames()) {
        holder.allowances[budget] = allowances[budget].asInt64();
    }
    return holder;
}

Json::Value write_holder(const allowance_holder& holder) {
    Json::Value to;
    to["operation"] = Json::UInt64(holder.operation);
    to["folded_through"] = Json::Int64(holder.folded_through);
    to["allowances"] = Json::objectValue;
    for (const auto& [budget, amount] : holder.allowances) {
        to["allowances"][budget] = Json::Int64(amount);
    }
    return to;
}

} // namespace

const char* const ledger_prefix = "ledger/";

result<ledger_shard> ledger_shard::from_text(const std::string& text) {
    const result<Json::Value> document = parse_json(text);
    if (!document) {
        return document.error();
    }
    ledger_shard shard;
    try {
        const Json::Value& budgets = member(document.value(), "budgets");
        for (const std::string& name : budgets.getMemberNames()) {
            shard.budgets_[name] = read_account(budgets[name]);
        }
        const Json::Value& holders = member(document.value(), "holders");
        for (const std::string& name : holders.getMemberNames()) {
            shard.holders_[name] = read_holder(holders[name]);
        }
    } catch (const Json::Exception& e) {
        return make_failure(errc::malformed, "read ledger shard", "", e.what());
    }
    return shard;
}

std::string ledger_shard::to_text() const {
    Json::Value document;
    document["budgets"] = Json::objectValue;
    for (const auto& [name, account] : budgets_) {
        document["budgets"][name] = write_account(account);
    }
    document["holders"] = Json::objectValue;
    for (const auto& [name, holder] : holders_) {
        document["holders"][name] = write_holder(holder);
    }
    return eelgrassgw::to_text(document);
}

result<done> ledger_shard::top_up(const std::string& customer, const std::string& budget,
                                  const std::string& id, tokens amount) {
    if (amount <= 0) {
        return refused("top up", "amount " + std::to_string(amount) + " is not positive");
    }
    const auto existing = budgets_.find(budget);
    if (existing != budgets_.end() && existing->second.customer != customer) {
        return refused("top up", "budget \"" + budget + "\" belongs to customer \"" +
                                     existing->second.customer + "\", not to \"" + customer + "\"");
    }
    budget_account& account = budgets_[budget];
    account.customer = customer;
    const auto [it, is_new] = account.top_ups.try_emplace(id, amount);
    if (!is_new && it->second != amount) {
        return refused("top up", "top-up \"" + id + "\" of budget \"" + budget + "\" was made with " +
                                     std::to_string(it->second) + " tokens, not " + std::to_string(amount));
    }
    if (is_new) {
        account.paid += amount;
    }
    return done{};
}

result<done> ledger_shard::grant(const std::string& holder, const std::string& budget, tokens amount) {
    if (find_budget(budget) == nullptr) {
        return make_failure(errc::not_found, "grant allowance", "",
                            "budget \"" + budget + "\" has never been topped up");
    }
    const tokens free = free_tokens(budget);
    if (free < amount) {
        return make_failure(errc::budget_exhausted, "grant allowance", "",
                            "budget \"" + budget + "\" has " + std::to_string(free) + " free tokens, " +
                                std::to_string(amount) + " are needed");
    }
    holders_[holder].allowances[budget] += amount;
    return done{};
}

result<done> ledger_shard::give_back(const std::string& holder, const std::string& budget, tokens amount) {
    const allowance_holder* found = find_holder(holder);
    const auto it =
        found == nullptr ? std::map<std::string, tokens>::const_iterator{} : found->allowances.find(budget);
    if (found == nullptr || it == found->allowances.end() || it->second < amount) {
        return refused("give back allowance", "holder \"" + holder + "\" has less than " +
                                                  std::to_string(amount) + " tokens of budget \"" + budget +
                                                  "\"");
    }
    holders_[holder].allowances[budget] -= amount;
    if (it->second == 0) {
        holders_[holder].allowances.erase(budget);
    }
    return done{};
}

result<done> ledger_shard::fold(const std::string& holder, std::int64_t segment_number,
                                const std::vector<budget_spend>& spends) {
    const auto it = holders_.find(holder);
    if (it == holders_.end()) {
        return refused("fold journal", "holder \"" + holder + "\" is closed or unknown");
    }
    if (segment_number <= it->second.folded_through) {
        return done{};
    }
    ledger_shard changed = *this;
    allowance_holder& to = changed.holders_[holder];
    for (const budget_spend& spend : spends) {
        tokens& allowance = to.allowances[spend.budget];
        allowance -= spend.billed + spend.withheld;
        if (allowance < 0) {
            return refused("fold journal", "holder \"" + holder + "\" spent " + std::to_string(-allowance) +
                                               " tokens of budget \"" + spend.budget +
                                               "\" beyond its allowance");
        }
        if (allowance == 0) {
            to.allowances.erase(spend.budget);
        }
        changed.budgets_[spend.budget].settled += spend.billed;
        changed.budgets_[spend.budget].withheld += spend.withheld;
    }
    to.folded_through = segment_number;
    *this = std::move(changed);
    return done{};
}

void ledger_shard::close_holder(const std::string& holder) {
    holders_.erase(holder);
}

void ledger_shard::close_holder_withholding(const std::string& holder) {
    const auto it = holders_.find(holder);
    if (it == holders_.end()) {
        return;
    }
    for (const auto& [budget, amount] : it->second.allowances) {
        budgets_[budget].withheld += amount;
    }
    holders_.erase(it);
}

void ledger_shard::set_operation(const std::string& holder, std::uint64_t operation) {
    holders_[holder].operation = operation;
}

tokens ledger_shard::free_tokens(const std::string& budget) const {
    const budget_account* account = find_budget(budget);
    if (account == nullptr) {
        return 0;
    }
    return account->paid - account->settled - account->withheld - granted_tokens(budget);
}

tokens ledger_shard::granted_tokens(const std::string& budget) const {
    tokens sum = 0;
    for (const auto& [name, holder] : holders_) {
        const auto it = holder.allowances.find(budget);
        sum += it == holder.allowances.end() ? 0 : it->second;
    }
    return sum;
}

const budget_account* ledger_shard::find_budget(const std::string& budget) const {
    const auto it = budgets_.find(budget);
    return it == budgets_.end() ? nullptr : &it->second;
}

const allowance_holder* ledger_shard::find_holder(const std::string& holder) const {
    const auto it = holders_.find(holder);
    return it == holders_.end() ? nullptr : &it->second;
}

unsigned shard_for_budget(const std::string& budget, unsigned shard_count) {
    return static_cast<unsigned>(stable_hash(budget) % shard_count);
}

std::string ledger_key(unsigned number) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%s%05u", ledger_prefix, number);
    return buf;
}

bool is_ledger_key(const std::string& key) {
    constexpr std::size_t min_digits = 5; // See `ledger_key`.
    return key.starts_with(ledger_prefix) && is_decimal(key.substr(key.find('/') + 1), min_digits);
}

} // namespace eelgrassgw

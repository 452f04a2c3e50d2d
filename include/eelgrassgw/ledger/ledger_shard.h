#pragma once

/// One shard of the ledger: the budgets in it and the allowances that routers hold on them.

#include "eelgrassgw/base/json.h"

#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// The account of one budget: the tokens paid in, billed and withheld.
struct budget_account {
    std::string customer;
    tokens paid = 0;
    tokens settled = 0;                    ///< Tokens billed by journal records.
    tokens withheld = 0;                   ///< Tokens that may have been used but are billed to no request.
    std::map<std::string, tokens> top_ups; ///< Amount of each top-up, by the id that the operator chose.
};

/// The tokens that one router incarnation holds in a shard. No other incarnation may spend them.
struct allowance_holder {
    std::uint64_t operation = 0;      ///< Number of the last update, by which its holder recognises it.
    std::int64_t folded_through = -1; ///< Number of the last journal segment that is folded.
    std::map<std::string, tokens> allowances; ///< Unspent tokens of each budget.
};

/// The spend on one budget, summed over journal records.
struct budget_spend {
    std::string budget;
    tokens billed = 0;
    tokens withheld = 0;
};

/// Budgets and the allowances on them. Invariant: settled + withheld + allowances <= paid for each budget.
///
/// It is a copyable value type. Every operation either keeps the invariant or fails and changes nothing. It
/// is not thread-safe.
class ledger_shard {
public:
    /// Parses the stored text. The error names the cause.
    static result<ledger_shard> from_text(const std::string& text);

    /// Returns the text to store.
    std::string to_text() const;

    /// Adds `amount` to the paid tokens of `budget`. Idempotent for the same `id` and amount.
    /// Fails with `refused` if the id was used with another amount, or if the budget belongs to another
    /// customer.
    result<done> top_up(const std::string& customer, const std::string& budget, const std::string& id,
                        tokens amount);

    /// Grants free tokens to `holder`. Fails with `budget_exhausted` or `not_found`. Precondition: `amount`
    /// is positive.
    result<done> grant(const std::string& holder, const std::string& budget, tokens amount);

    /// Takes tokens from `holder` and makes them free again. Fails with `refused` if the holder has fewer
    /// than `amount`. Precondition: `amount` is positive.
    result<done> give_back(const std::string& holder, const std::string& budget, tokens amount);

    /// Moves the spend of journal segment `segment_number` from the holder's allowances to `settled` and
    /// `withheld`. Folding a segment again changes nothing. Fails with `refused` if an allowance is too
    /// small.
    result<done> fold(const std::string& holder, std::int64_t segment_number,
                      const std::vector<budget_spend>& spends);

    /// Removes a holder and frees its remaining allowances. Precondition: they are known to be unspent.
    void close_holder(const std::string& holder);

    /// Removes a holder and counts its remaining allowances as withheld, so that they are never spent.
    void close_holder_withholding(const std::string& holder);

    /// Sets the number of the holder's last update. Precondition: the holder exists.
    void set_operation(const std::string& holder, std::uint64_t operation);

    /// Returns the tokens of `budget` that no router holds, or 0 if the budget does not exist.
    tokens free_tokens(const std::string& budget) const;

    /// Returns the tokens of `budget` that all holders have together.
    tokens granted_tokens(const std::string& budget) const;

    /// Returns the account of `budget`, or null if it does not exist.
    const budget_account* find_budget(const std::string& budget) const;

    /// Returns the allowances of `holder`, or null if it has none in this shard.
    const allowance_holder* find_holder(const std::string& holder) const;

    const std::map<std::string, budget_account>& budgets() const { return budgets_; }
    const std::map<std::string, allowance_holder>& holders() const { return holders_; }

private:
    std::map<std::string, budget_account> budgets_;
    std::map<std::string, allowance_holder> holders_;
};

/// Returns the number of the shard that holds `budget`. Precondition: shard_count > 0.
unsigned shard_for_budget(const std::string& budget, unsigned shard_count);

/// Returns the key of shard `number` in the object API.
std::string ledger_key(unsigned number);

/// Returns whether `key` is that of a shard. Another writer may have left objects under others.
bool is_ledger_key(const std::string& key);

/// Prefix of the keys of all shards.
extern const char* const ledger_prefix;

} // namespace eelgrassgw

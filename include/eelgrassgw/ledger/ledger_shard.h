#pragma once

/// One shard of the ledger: the budgets in it and the allowances that routers hold on them.

#include "eelgrassgw/base/json.h"

#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// What was paid into one budget and what became of it.
struct budget_account {
    std::string customer;
    tokens paid = 0;
    tokens settled = 0;  ///< Billed by journal records.
    tokens withheld = 0; ///< May have been used, and no record can tell; billed to no request.
    std::map<std::string, tokens> top_ups; ///< Amount of each top-up, by the operator's own id.
};

/// What one router incarnation holds in a shard. Nobody else may spend it.
struct allowance_holder {
    std::uint64_t operation = 0;      ///< Number of the holder's last update, to settle lost answers.
    std::int64_t folded_through = -1; ///< Journal segments up to this number are part of `settled`.
    std::map<std::string, tokens> allowances;
};

/// Spend of one budget, as summed from journal records.
struct budget_spend {
    std::string budget;
    tokens billed = 0;
    tokens withheld = 0;
};

/// The aggregate that keeps: for each budget, settled + withheld + allowances <= paid.
///
/// A plain value; every change either holds that rule or fails and changes nothing. Not thread-safe.
class ledger_shard {
public:
    /// Reads the stored form; the failure names what is wrong.
    static result<ledger_shard> from_text(const std::string& text);
    std::string to_text() const;

    /// Adds `amount` to what was paid. A repeated `id` with the same amount changes nothing.
    /// Errors: `refused` where the id was used with another amount, or the budget belongs to another
    /// customer.
    result<done> top_up(const std::string& customer, const std::string& budget, const std::string& id,
                        tokens amount);

    /// Sets tokens aside for `holder`. Errors: `budget_exhausted`, `not_found`. Precondition: amount > 0.
    result<done> grant(const std::string& holder, const std::string& budget, tokens amount);

    /// Returns unspent tokens. Errors: `refused` where the holder has less. Precondition: amount > 0.
    result<done> give_back(const std::string& holder, const std::string& budget, tokens amount);

    /// Moves spend from the holder's allowances to `settled` and `withheld`, through journal segment
    /// `through`. Folding a segment twice changes nothing. Errors: `refused` where an allowance is too small.
    result<done> fold(const std::string& holder, std::int64_t through,
                      const std::vector<budget_spend>& spends);

    /// Ends a holder and frees what it still has. The caller must have proved that it is unspent.
    void close_holder(const std::string& holder);

    /// Ends a holder and keeps what it still has out of the budgets for good.
    void close_holder_withholding(const std::string& holder);

    /// Notes the number of the holder's update. Precondition: the holder exists.
    void note_operation(const std::string& holder, std::uint64_t operation);

    /// Tokens that nobody holds; 0 where the budget does not exist.
    tokens free_tokens(const std::string& budget) const;

    /// Tokens of `budget` that incarnations hold.
    tokens allowances_on(const std::string& budget) const;

    const budget_account* find_budget(const std::string& budget) const;
    const allowance_holder* find_holder(const std::string& holder) const;
    const std::map<std::string, budget_account>& budgets() const { return budgets_; }
    const std::map<std::string, allowance_holder>& holders() const { return holders_; }

private:
    std::map<std::string, budget_account> budgets_;
    std::map<std::string, allowance_holder> holders_;
};

/// The shard of `budget`. Precondition: shard_count > 0.
unsigned shard_of(const std::string& budget, unsigned shard_count);

/// The key of shard `number` in the object API.
std::string ledger_key(unsigned number);

/// Prefix of all shards' keys.
extern const char* const ledger_prefix;

} // namespace eelgrassgw

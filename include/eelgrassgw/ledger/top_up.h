#pragma once

/// Pays tokens into a budget.

#include "eelgrassgw/ledger/ledger_shard.h"
#include "eelgrassgw/platform/object_store.h"

namespace eelgrassgw {

/// A payment into a budget, with an id that the operator chooses and that makes it idempotent.
struct top_up_order {
    std::string customer;
    std::string budget;
    std::string id;
    tokens amount = 0;
};

/// Adds the payment once, even if it is repeated with the same id. Returns the tokens paid into the budget so
/// far. Fails with `refused` for the reasons that `ledger_shard::top_up` gives. After `unreachable` or
/// `outcome_unknown`, the call may be repeated. The function is thread-safe.
template <object_store Store>
result<tokens> pay_in(Store& store, const top_up_order& order, unsigned shard_count) {
    const std::string key = ledger_key(shard_for_budget(order.budget, shard_count));
    for (;;) {
        const result<std::optional<stored_object>> object = store.get(key);
        if (!object) {
            return object.error();
        }
        result<ledger_shard> shard = object.value() ? ledger_shard::from_text(object.value()->value)
                                                    : result<ledger_shard>(ledger_shard());
        if (!shard) {
            return shard.error();
        }
        const result<done> paid = shard.value().top_up(order.customer, order.budget, order.id, order.amount);
        if (!paid) {
            return paid.error();
        }
        const object_version version = object.value() ? object.value()->version : absent_version;
        const result<object_version> written = store.put(key, shard.value().to_text(), version);
        if (written) {
            return shard.value().find_budget(order.budget)->paid;
        }
        if (!written.failed_with(errc::version_conflict)) {
            return written.error();
        }
    }
}

} // namespace eelgrassgw

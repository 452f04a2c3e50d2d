#include "budgets/budget_ledger.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

std::int64_t newest_write_time_ms(const budget_ledger& ledger) {
    std::int64_t newest_ms = 0;
    for (const auto& [router, writer] : ledger.writers) {
        newest_ms = std::max(newest_ms, writer.written_at_ms);
    }
    return newest_ms;
}

void remove_old_writers(budget_ledger& ledger, const std::string& excepted_router) {
    const std::chrono::milliseconds retention = budget_ledger::writer_retention;
    const std::int64_t oldest_kept_ms = newest_write_time_ms(ledger) - retention.count();
    std::erase_if(ledger.writers, [&](const auto& each) {
        return each.first != excepted_router && each.second.written_at_ms < oldest_kept_ms;
    });
}

failure malformed(const std::string& message) {
    return make_failure(errc::malformed, "parse budget ledger", "", message);
}

} // namespace

tokens budget_ledger::taken_by_all(const std::string& customer) const {
    const auto it = taken.find(customer);
    return it == taken.end() ? 0 : it->second;
}

tokens budget_ledger::writer::granted(const std::string& customer, tokens wanted) const {
    const auto it = reduced.find(customer);
    return it == reduced.end() ? wanted : it->second;
}

budget_ledger::writer budget_ledger::last_write(const std::string& router) const {
    const auto it = writers.find(router);
    return it == writers.end() ? writer{} : it->second;
}

void budget_ledger::change(const std::string& router, writer last,
                           const std::map<std::string, wanted_tokens>& changes) {
    for (const auto& [customer, wanted] : changes) {
        withhold_rest(customer, wanted.max_taken);
        tokens& taken_tokens = taken[customer];
        const tokens left = std::max<tokens>(wanted.max_taken - taken_tokens, 0);
        const tokens grantable = is_recovering ? 0 : left;
        const tokens granted = std::min(wanted.amount, grantable);
        taken_tokens += granted;
        if (granted != wanted.amount) {
            last.reduced[customer] = granted;
        }
    }
    note_write(router, std::move(last));
}

void budget_ledger::restore(const std::string& router, writer last,
                            const std::map<std::string, wanted_tokens>& changes) {
    for (const auto& [customer, forgotten] : changes) {
        taken[customer] += forgotten.amount;
    }
    note_write(router, std::move(last));
}

void budget_ledger::note_write(const std::string& router, writer last) {
    writers[router] = std::move(last);
    awaited.erase(router);
    if (missing.erase(router) > 0 && missing.empty()) {
        for (const auto& [customer, amount] : withheld) {
            taken[customer] -= amount;
        }
        withheld.clear();
    }
    remove_old_writers(*this, router);
}

void budget_ledger::begin_recovery(std::uint64_t new_era) {
    era = new_era;
    is_recovering = true;
    for (const auto& [router, last] : recent_writers(active_router_window)) {
        if (!last.closed) {
            awaited.insert(router);
        }
    }
}

void budget_ledger::await_routers(const std::set<std::string>& routers) {
    for (const std::string& router : routers) {
        if (!writers.contains(router) && !missing.contains(router)) {
            awaited.insert(router);
        }
    }
}

void budget_ledger::end_recovery() {
    is_recovering = false;
    missing.insert(awaited.begin(), awaited.end());
    awaited.clear();
}

/// Withholds what is left of a customer's budget when the customer is first seen while routers are missing.
/// Tokens that an operator adds later can be granted.
void budget_ledger::withhold_rest(const std::string& customer, tokens max_taken) {
    if (missing.empty() || withheld.contains(customer)) {
        return;
    }
    const tokens left = std::max<tokens>(max_taken - taken[customer], 0);
    withheld[customer] = left;
    taken[customer] += left;
}

std::map<std::string, budget_ledger::writer>
budget_ledger::recent_writers(std::chrono::milliseconds max_age) const {
    std::map<std::string, writer> found = writers;
    const std::int64_t oldest_kept_ms = newest_write_time_ms(*this) - max_age.count();
    std::erase_if(found, [&](const auto& each) { return each.second.written_at_ms < oldest_kept_ms; });
    return found;
}

namespace {

void write_names(const std::set<std::string>& names, Json::Value& list) {
    for (const std::string& name : names) {
        list.append(name);
    }
}

std::set<std::string> read_names(const Json::Value& list) {
    const std::vector<std::string> names = string_elements(list);
    return {names.begin(), names.end()};
}

/// Adds the fields that describe the store's era and a recovery, where they differ from their defaults.
void write_recovery(const budget_ledger& ledger, Json::Value& document) {
    if (ledger.era != 0) {
        document["era"] = Json::UInt64(ledger.era);
    }
    if (ledger.is_recovering) {
        document["recovering"] = true;
    }
    if (!ledger.awaited.empty()) {
        write_names(ledger.awaited, document["awaited"]);
    }
    if (!ledger.missing.empty()) {
        write_names(ledger.missing, document["missing"]);
    }
    for (const auto& [customer, amount] : ledger.withheld) {
        document["withheld"][customer] = Json::Int64(amount);
    }
}

void read_recovery(const Json::Value& document, budget_ledger& ledger) {
    ledger.era = std::uint64_t(int_member(document, "era"));
    ledger.is_recovering = bool_member(document, "recovering");
    ledger.awaited = read_names(member(document, "awaited"));
    ledger.missing = read_names(member(document, "missing"));
    const Json::Value& withheld = member(document, "withheld");
    for (const std::string& customer :
         withheld.isObject() ? withheld.getMemberNames() : Json::Value::Members()) {
        ledger.withheld[customer] = int_member(withheld, customer.c_str());
    }
}

} // namespace

Json::Value to_json(const budget_ledger& ledger) {
    Json::Value document(Json::objectValue);
    Json::Value& taken = document["taken"] = Json::Value(Json::objectValue);
    for (const auto& [customer, amount] : ledger.taken) {
        taken[customer] = Json::Int64(amount);
    }
    Json::Value& writers = document["writers"] = Json::Value(Json::objectValue);
    for (const auto& [router, writer] : ledger.writers) {
        writers[router]["sequence"] = Json::UInt64(writer.sequence);
        writers[router]["written_at_ms"] = Json::Int64(writer.written_at_ms);
        writers[router]["address"] = writer.address;
        if (writer.closed) {
            writers[router]["closed"] = true;
        }
        for (const auto& [customer, amount] : writer.reduced) {
            writers[router]["reduced"][customer] = Json::Int64(amount);
        }
    }
    write_recovery(ledger, document);
    return document;
}

result<budget_ledger> parse_budget_ledger(const Json::Value& document) {
    if (!member(document, "taken").isObject() || !member(document, "writers").isObject()) {
        return malformed("the document has no objects \"taken\" and \"writers\"");
    }
    budget_ledger ledger;
    for (const std::string& customer : document["taken"].getMemberNames()) {
        const Json::Value& amount = document["taken"][customer];
        if (!amount.isInt64()) {
            return malformed("what customer \"" + customer + "\" has taken is not a whole number");
        }
        ledger.taken[customer] = amount.asInt64();
    }
    for (const std::string& router : document["writers"].getMemberNames()) {
        const Json::Value& writer = document["writers"][router];
        budget_ledger::writer& parsed = ledger.writers[router];
        parsed = {std::uint64_t(int_member(writer, "sequence")),
                  int_member(writer, "written_at_ms"),
                  string_member(writer, "address"),
                  {},
                  bool_member(writer, "closed")};
        const Json::Value& reduced = member(writer, "reduced");
        for (const std::string& customer :
             reduced.isObject() ? reduced.getMemberNames() : Json::Value::Members()) {
            parsed.reduced[customer] = int_member(reduced, customer.c_str());
        }
    }
    read_recovery(document, ledger);
    return ledger;
}

} // namespace eelgrassgw

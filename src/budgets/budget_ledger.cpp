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
        tokens& taken_tokens = taken[customer];
        const tokens grantable = std::max<tokens>(wanted.max_taken - taken_tokens, 0);
        const tokens granted = std::min(wanted.amount, grantable);
        taken_tokens += granted;
        if (granted != wanted.amount) {
            last.reduced[customer] = granted;
        }
    }
    writers[router] = std::move(last);
    remove_old_writers(*this, router);
}

std::map<std::string, budget_ledger::writer>
budget_ledger::recent_writers(std::chrono::milliseconds max_age) const {
    std::map<std::string, writer> found = writers;
    const std::int64_t oldest_kept_ms = newest_write_time_ms(*this) - max_age.count();
    std::erase_if(found, [&](const auto& each) { return each.second.written_at_ms < oldest_kept_ms; });
    return found;
}

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
        for (const auto& [customer, amount] : writer.reduced) {
            writers[router]["reduced"][customer] = Json::Int64(amount);
        }
    }
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
                  {}};
        const Json::Value& reduced = member(writer, "reduced");
        for (const std::string& customer :
             reduced.isObject() ? reduced.getMemberNames() : Json::Value::Members()) {
            parsed.reduced[customer] = int_member(reduced, customer.c_str());
        }
    }
    return ledger;
}

} // namespace eelgrassgw

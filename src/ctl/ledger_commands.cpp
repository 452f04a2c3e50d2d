/// Commands about budgets: top-up, budget, audit.

#include "command.h"
#include "eelgrassgw/configuration/configuration_store.h"
#include "eelgrassgw/ledger/audit.h"
#include "eelgrassgw/ledger/top_up.h"

#include <iostream>

namespace eelgrassgw::ctl {

namespace {

result<audit_report> run_audit(http_object_store& store) {
    const result<audit_input> input = read_audit_input(store);
    if (!input) {
        return input.error();
    }
    return audit_ledger(input.value());
}

Json::Value to_json(const audited_budget& b) {
    Json::Value to;
    to["budget"] = b.budget;
    to["customer"] = b.customer;
    to["paid"] = Json::Int64(b.paid);
    to["settled"] = Json::Int64(b.settled);
    to["withheld"] = Json::Int64(b.withheld);
    to["withheld_unrecorded"] = Json::Int64(b.withheld_unrecorded);
    to["allowances"] = Json::Int64(b.allowances);
    to["free"] = Json::Int64(b.free);
    to["journalled"] = Json::Int64(b.journalled);
    to["not_yet_folded"] = Json::Int64(b.not_yet_folded);
    return to;
}

void print_budgets(const audit_report& audited, const options& with) {
    std::vector<std::vector<std::string>> rows = {
        {"budget", "customer", "paid", "settled", "withheld", "allowances", "free", "to fold"}};
    Json::Value json(Json::arrayValue);
    for (const audited_budget& b : audited.budgets) {
        if (!with.budget.empty() && b.budget != with.budget) {
            continue;
        }
        rows.push_back({b.budget, b.customer, std::to_string(b.paid), std::to_string(b.settled),
                        std::to_string(b.withheld), std::to_string(b.allowances), std::to_string(b.free),
                        std::to_string(b.not_yet_folded)});
        json.append(to_json(b));
    }
    if (with.json) {
        Json::Value document;
        document["budgets"] = json;
        document["records"] = Json::UInt64(audited.records);
        document["differences"] = Json::arrayValue;
        for (const std::string& difference : audited.differences) {
            document["differences"].append(difference);
        }
        print_json(document);
    } else {
        print_table(rows);
    }
}

} // namespace

int top_up(http_object_store& store, const options& with) {
    if (with.customer.empty() || with.budget.empty() || with.id.empty() || with.amount <= 0) {
        std::cerr << "eelgrassctl: top-up needs --customer, --budget, --id and a positive --amount\n";
        return exit_usage;
    }
    const result<std::optional<configuration>> read = configuration_store<http_object_store>(store).read();
    if (!read) {
        return report(read.error());
    }
    if (!read.value() || read.value()->find_customer(with.customer) == nullptr) {
        std::cerr << "eelgrassctl: customer \"" << with.customer
                  << "\" does not exist in the configuration in force\n";
        return exit_refused;
    }
    const auto& budgets = read.value()->find_customer(with.customer)->budgets;
    if (std::find(budgets.begin(), budgets.end(), with.budget) == budgets.end()) {
        std::cerr << "eelgrassctl: budget \"" << with.budget << "\" does not exist in customer \""
                  << with.customer << "\"\n";
        return exit_refused;
    }
    const result<tokens> paid =
        pay_in(store, {with.customer, with.budget, with.id, with.amount}, read.value()->ledger_shards());
    if (!paid) {
        return report(paid.error());
    }
    std::cout << "budget \"" << with.budget << "\" has " << paid.value() << " tokens paid in, top-up \""
              << with.id << "\" counted once\n";
    return exit_ok;
}

int budget(http_object_store& store, const options& with) {
    const result<audit_report> audited = run_audit(store);
    if (!audited) {
        return report(audited.error());
    }
    print_budgets(audited.value(), with);
    return exit_ok;
}

int audit(http_object_store& store, const options& with) {
    const result<audit_report> audited = run_audit(store);
    if (!audited) {
        return report(audited.error());
    }
    print_budgets(audited.value(), with);
    for (const std::string& difference : audited.value().differences) {
        std::cerr << "difference: " << difference << "\n";
    }
    if (!with.json) {
        std::cout << audited.value().records << " records, " << audited.value().differences.size()
                  << " differences\n";
    }
    return audited.value().differences.empty() ? exit_ok : exit_difference;
}

} // namespace eelgrassgw::ctl

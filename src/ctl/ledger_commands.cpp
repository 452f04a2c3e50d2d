/// Implements the commands about budgets: top-up, budget and audit.

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
    Json::Value json;
    json["budget"] = b.budget;
    json["customer"] = b.customer;
    json["paid"] = Json::Int64(b.paid);
    json["settled"] = Json::Int64(b.settled);
    json["withheld"] = Json::Int64(b.withheld);
    json["withheld_unrecorded"] = Json::Int64(b.withheld_unrecorded);
    json["allowances"] = Json::Int64(b.allowances);
    json["free"] = Json::Int64(b.free);
    json["journalled"] = Json::Int64(b.journalled);
    json["not_yet_folded"] = Json::Int64(b.not_yet_folded);
    return json;
}

void print_budgets(const audit_report& report, const options& flags) {
    std::vector<std::vector<std::string>> rows = {
        {"budget", "customer", "paid", "settled", "withheld", "allowances", "free", "to fold"}};
    Json::Value json(Json::arrayValue);
    for (const audited_budget& b : report.budgets) {
        if (!flags.budget.empty() && b.budget != flags.budget) {
            continue;
        }
        rows.push_back({b.budget, b.customer, std::to_string(b.paid), std::to_string(b.settled),
                        std::to_string(b.withheld), std::to_string(b.allowances), std::to_string(b.free),
                        std::to_string(b.not_yet_folded)});
        json.append(to_json(b));
    }
    if (flags.print_as_json) {
        Json::Value document;
        document["budgets"] = json;
        document["records"] = Json::UInt64(report.records);
        document["differences"] = Json::arrayValue;
        for (const std::string& difference : report.differences) {
            document["differences"].append(difference);
        }
        print_json(document);
    } else {
        print_table(rows);
    }
}

} // namespace

int top_up(http_object_store& store, const options& flags) {
    if (flags.customer.empty() || flags.budget.empty() || flags.id.empty() || flags.amount <= 0) {
        std::cerr << "eelgrassctl: top-up needs --customer, --budget, --id and a positive --amount\n";
        return exit_usage;
    }
    const result<std::optional<configuration>> current = configuration_store<http_object_store>(store).read();
    if (!current) {
        return report_failure(current.error());
    }
    if (!current.value() || current.value()->find_customer(flags.customer) == nullptr) {
        std::cerr << "eelgrassctl: customer \"" << flags.customer
                  << "\" does not exist in the configuration in force\n";
        return exit_refused;
    }
    const auto& budgets = current.value()->find_customer(flags.customer)->budgets;
    if (std::find(budgets.begin(), budgets.end(), flags.budget) == budgets.end()) {
        std::cerr << "eelgrassctl: budget \"" << flags.budget << "\" does not exist in customer \""
                  << flags.customer << "\"\n";
        return exit_refused;
    }
    const result<tokens> paid = pay_in(store, {flags.customer, flags.budget, flags.id, flags.amount},
                                       current.value()->ledger_shards());
    if (!paid) {
        return report_failure(paid.error());
    }
    std::cout << "budget \"" << flags.budget << "\" has " << paid.value() << " tokens paid in, top-up \""
              << flags.id << "\" counted once\n";
    return exit_ok;
}

int budget(http_object_store& store, const options& flags) {
    const result<audit_report> report = run_audit(store);
    if (!report) {
        return report_failure(report.error());
    }
    print_budgets(report.value(), flags);
    return exit_ok;
}

int audit(http_object_store& store, const options& flags) {
    const result<audit_report> report = run_audit(store);
    if (!report) {
        return report_failure(report.error());
    }
    print_budgets(report.value(), flags);
    for (const std::string& difference : report.value().differences) {
        std::cerr << "difference: " << difference << "\n";
    }
    if (!flags.print_as_json) {
        std::cout << report.value().records << " records, " << report.value().differences.size()
                  << " differences\n";
    }
    return report.value().differences.empty() ? exit_ok : exit_difference;
}

} // namespace eelgrassgw::ctl

/// eelgrassctl: the tool of operators and auditors.

#include "command.h"
#include "eelgrassgw/base/failpoint.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

DEFINE_string(object_api, "127.0.0.1:8500", "address and port of the platform's object API");
DEFINE_string(fleet_key, "", "key of the fleet, for commands that speak to its processes");
DEFINE_string(file, "", "configuration file (JSON)");
DEFINE_string(by, "", "who makes the change");
DEFINE_string(reason, "", "why");
DEFINE_int64(base, -1, "revision that the change replaces; 0 at first");
DEFINE_string(customer, "", "customer");
DEFINE_string(budget, "", "budget");
DEFINE_string(id, "", "id of a top-up or of a request");
DEFINE_int64(amount, 0, "tokens to pay in");
DEFINE_string(agent, "", "name of a backend server");
DEFINE_string(logs, "", "log files, separated by commas");
DEFINE_bool(json, false, "print JSON instead of a table");

namespace eelgrassgw::ctl {
namespace {

constexpr std::array<command, 11> commands = {{
    {"validate", "validate --file=F", "checks a configuration file and lists every error", validate},
    {"apply", "apply --file=F --base=REVISION --by=NAME --reason=TEXT",
     "puts a configuration in force; refused where another one came first. Safe to repeat", apply},
    {"show", "show [--customer=C] [--json]",
     "the configuration in force; with a customer, each value and where it comes from", show},
    {"diff", "diff --file=F",
     "compares a file with the configuration in force; exit code 1 where they differ", diff},
    {"top-up", "top-up --customer=C --budget=B --id=ID --amount=TOKENS",
     "pays tokens in; counts once under its id. Safe to repeat", top_up},
    {"budget", "budget [--budget=B] [--json]", "what was paid in and what became of it", budget},
    {"explain", "explain --id=REQUEST [--logs=F,F] [--json]", "each decision about a request, and its bill",
     explain},
    {"audit", "audit [--json]", "journal against ledger, to the token; exit code 1 at any difference", audit},
    {"held", "held [--json]", "what recovery still holds, and why", held},
    {"drain", "drain --agent=NAME --fleet_key=KEY", "makes a backend server leave", drain},
    {"forget-agent", "forget-agent --agent=NAME --fleet_key=KEY --reason=PROOF",
     "declares an agent lost whose VM certainly runs no more, so that recovery can end", forget_agent},
}};

constexpr const char* exit_codes =
    "\nExit codes: 0 done; 1 a difference was found; 2 a flag or file is wrong; 3 refused, nothing changed; "
    "4 the object API or a process cannot be asked: repeat the command.\n";

const command* find_command(const std::string& name) {
    const auto it = std::find_if(commands.begin(), commands.end(),
                                 [&](const command& entry) { return name == entry.name; });
    return it == commands.end() ? nullptr : &*it;
}

void print_usage(const command& entry) {
    std::cout << "  " << entry.usage << "\n      " << entry.help << "\n";
}

int print_help() {
    std::cout << "eelgrassctl COMMAND [--object_api=ADDRESS] ...\n\n";
    for (const command& entry : commands) {
        print_usage(entry);
    }
    std::cout << exit_codes;
    return exit_ok;
}

int report_unknown(const std::string& name) {
    std::cerr << "eelgrassctl: command \"" << name << "\" does not exist; see eelgrassctl help\n";
    return exit_usage;
}

/// One command with the flags that its usage names.
int print_help_of(const std::string& name) {
    const command* entry = find_command(name);
    if (entry == nullptr) {
        return report_unknown(name);
    }
    std::cout << "eelgrassctl " << entry->usage << "\n\n" << entry->help << "\n\n";
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo& flag : flags) {
        const std::string usage = std::string(entry->usage) + " --object_api";
        if (usage.find("--" + flag.name) != std::string::npos) {
            std::cout << "  --" << flag.name << "  " << flag.description << "\n";
        }
    }
    std::cout << exit_codes;
    return exit_ok;
}

options read_options() {
    options with;
    with.object_api = FLAGS_object_api;
    with.fleet_key = FLAGS_fleet_key;
    with.file = FLAGS_file;
    with.by = FLAGS_by;
    with.reason = FLAGS_reason;
    with.base = FLAGS_base;
    with.customer = FLAGS_customer;
    with.budget = FLAGS_budget;
    with.id = FLAGS_id;
    with.amount = FLAGS_amount;
    with.agent = FLAGS_agent;
    with.logs = FLAGS_logs;
    with.json = FLAGS_json;
    return with;
}

int run(const std::string& name) {
    const options with = read_options();
    const result<endpoint> api = parse_endpoint(with.object_api);
    if (!api) {
        return report(api.error());
    }
    constexpr std::chrono::milliseconds limit{5000};
    http_object_store store(api.value(), {limit, limit});
    const command* entry = find_command(name);
    return entry == nullptr ? report_unknown(name) : entry->run(store, with);
}

} // namespace
} // namespace eelgrassgw::ctl

int main(int argc, char** argv) {
    gflags::SetUsageMessage("COMMAND [flags]; \"eelgrassctl help\" lists the commands");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    std::string wants_help;
    (void)gflags::GetCommandLineOption("help", &wants_help);
    const char* failpoints = std::getenv("EELGRASSGW_FAILPOINTS");
    eelgrassgw::arm_failpoints(failpoints == nullptr ? "" : failpoints);
    const std::string name = argc > 1 ? argv[1] : "help";
    if (name == "help") {
        return argc > 2 ? eelgrassgw::ctl::print_help_of(argv[2]) : eelgrassgw::ctl::print_help();
    }
    if (wants_help == "true") {
        return eelgrassgw::ctl::print_help_of(name);
    }
    return eelgrassgw::ctl::run(name);
}

/// Main program of eelgrassctl, the command-line tool for operators and auditors.

#include "command.h"
#include "eelgrassgw/base/failpoint.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

DEFINE_string(object_api, "127.0.0.1:8500", "address and port of the platform's object API");
DEFINE_string(fleet_key, "", "key of the fleet, for commands that call its processes");
DEFINE_string(file, "", "configuration file (JSON)");
DEFINE_string(by, "", "name of the person who makes the change");
DEFINE_string(reason, "", "reason for the change");
DEFINE_int64(base, -1, "revision that the change replaces; 0 for the first configuration");
DEFINE_string(customer, "", "name of a customer");
DEFINE_string(budget, "", "name of a budget");
DEFINE_string(id, "", "id of a top-up or of a request");
DEFINE_int64(amount, 0, "number of tokens to pay in");
DEFINE_string(agent, "", "name of a backend server");
DEFINE_string(logs, "", "log files, separated by commas");
DEFINE_bool(json, false, "print JSON instead of a table");

namespace eelgrassgw::ctl {
namespace {

constexpr std::array<command, 11> commands = {{
    {"validate", "validate --file=F", "checks a configuration file and lists every error", validate},
    {"apply", "apply --file=F --base=REVISION --by=NAME --reason=TEXT",
     "puts a configuration in force; refused if --base is not the current revision. Safe to repeat", apply},
    {"show", "show [--customer=C] [--json]",
     "shows the configuration in force; with a customer, each value and its source", show},
    {"diff", "diff --file=F", "compares a file with the configuration in force; exit code 1 if they differ",
     diff},
    {"top-up", "top-up --customer=C --budget=B --id=ID --amount=TOKENS",
     "pays tokens in; each id is counted once. Safe to repeat", top_up},
    {"budget", "budget [--budget=B] [--json]", "shows the tokens paid in and their use", budget},
    {"explain", "explain --id=REQUEST [--logs=F,F] [--json]",
     "shows each decision about a request, and its billing records", explain},
    {"audit", "audit [--json]", "compares journal and ledger to the token; exit code 1 at any difference",
     audit},
    {"held", "held [--json]", "shows the tokens that recovery still holds, and why", held},
    {"drain", "drain --agent=NAME --fleet_key=KEY",
     "makes the agent of a backend server drain: it accepts no new work", drain},
    {"forget-agent", "forget-agent --agent=NAME --fleet_key=KEY --reason=PROOF",
     "declares an agent lost whose VM provably no longer runs, so that recovery can end", forget_agent},
}};

constexpr const char* exit_code_help =
    "\nExit codes: 0 success; 1 a difference was found; 2 a flag or file is invalid; 3 refused, nothing "
    "changed; 4 the object API or a process is unreachable: repeat the command.\n";

const command* find_command(const std::string& name) {
    const auto it = std::find_if(commands.begin(), commands.end(),
                                 [&](const command& entry) { return name == entry.name; });
    return it == commands.end() ? nullptr : &*it;
}

void print_command_usage(const command& entry) {
    std::cout << "  " << entry.usage << "\n      " << entry.help << "\n";
}

int print_help() {
    std::cout << "eelgrassctl COMMAND [--object_api=ADDRESS] ...\n\n";
    for (const command& entry : commands) {
        print_command_usage(entry);
    }
    std::cout << exit_code_help;
    return exit_ok;
}

int report_unknown_command(const std::string& name) {
    std::cerr << "eelgrassctl: command \"" << name << "\" does not exist; see eelgrassctl help\n";
    return exit_usage;
}

/// Prints the help of one command, with the flags that its usage line names.
int print_command_help(const std::string& name) {
    const command* entry = find_command(name);
    if (entry == nullptr) {
        return report_unknown_command(name);
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
    std::cout << exit_code_help;
    return exit_ok;
}

options read_options() {
    options flags;
    flags.object_api = FLAGS_object_api;
    flags.fleet_key = FLAGS_fleet_key;
    flags.file = FLAGS_file;
    flags.changed_by = FLAGS_by;
    flags.reason = FLAGS_reason;
    flags.base_revision = FLAGS_base;
    flags.customer = FLAGS_customer;
    flags.budget = FLAGS_budget;
    flags.id = FLAGS_id;
    flags.amount = FLAGS_amount;
    flags.agent = FLAGS_agent;
    flags.log_files = FLAGS_logs;
    flags.print_as_json = FLAGS_json;
    return flags;
}

int run_command(const std::string& name) {
    const options flags = read_options();
    const result<endpoint> api = parse_endpoint(flags.object_api);
    if (!api) {
        return report_failure(api.error());
    }
    constexpr std::chrono::milliseconds timeout{5000};
    http_object_store store(api.value(), {timeout, timeout});
    const command* entry = find_command(name);
    return entry == nullptr ? report_unknown_command(name) : entry->run(store, flags);
}

} // namespace
} // namespace eelgrassgw::ctl

int main(int argc, char** argv) {
    gflags::SetUsageMessage("COMMAND [flags]; \"eelgrassctl help\" lists the commands");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    std::string help_flag;
    (void)gflags::GetCommandLineOption("help", &help_flag);
    const char* failpoints = std::getenv("EELGRASSGW_FAILPOINTS");
    eelgrassgw::arm_failpoints(failpoints == nullptr ? "" : failpoints);
    const std::string name = argc > 1 ? argv[1] : "help";
    if (name == "help") {
        return argc > 2 ? eelgrassgw::ctl::print_command_help(argv[2]) : eelgrassgw::ctl::print_help();
    }
    if (help_flag == "true") {
        return eelgrassgw::ctl::print_command_help(name);
    }
    return eelgrassgw::ctl::run_command(name);
}

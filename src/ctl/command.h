#pragma once

/// Declares the commands of eelgrassctl and the functions that print their results.

#include "eelgrassgw/platform/http_object_store.h"

#include <string>
#include <vector>

namespace eelgrassgw::ctl {

/// Exit codes, which mean the same for every command.
enum exit_code : int {
    exit_ok = 0,
    exit_difference = 1, ///< The audit found a difference, or the compared configurations differ.
    exit_usage = 2,      ///< A flag or a file is invalid.
    exit_refused = 3,    ///< The command was refused by a rule and changed nothing.
    exit_unreachable = 4 ///< The object API or a process is unreachable; the command may be repeated.
};

/// Values of the command-line flags.
struct options {
    std::string object_api;
    std::string fleet_key;
    std::string file;
    std::string changed_by;          ///< Name of the person who makes the change.
    std::string reason;              ///< Reason for the change.
    std::int64_t base_revision = -1; ///< Revision that the change replaces; -1 if the flag is missing.
    std::string customer;
    std::string budget;
    std::string id;             ///< Id of a top-up or of a request.
    std::int64_t amount = 0;    ///< Tokens that a top-up pays in.
    std::string agent;          ///< Name of the backend server whose agent is meant.
    std::string log_files;      ///< Paths of the log files, separated by commas.
    bool print_as_json = false; ///< Whether the output is JSON instead of a table.
};

/// Entry of the table of commands.
struct command {
    const char* name;
    const char* usage;
    const char* help;
    int (*run)(http_object_store& store, const options& flags);
};

// Each of these functions runs one command and returns its exit code.
int validate(http_object_store& store, const options& flags);
int apply(http_object_store& store, const options& flags);
int show(http_object_store& store, const options& flags);
int diff(http_object_store& store, const options& flags);
int top_up(http_object_store& store, const options& flags);
int budget(http_object_store& store, const options& flags);
int audit(http_object_store& store, const options& flags);
int held(http_object_store& store, const options& flags);
int explain(http_object_store& store, const options& flags);
int drain(http_object_store& store, const options& flags);
int forget_agent(http_object_store& store, const options& flags);

/// Prints a failure to standard error and returns its exit code.
int report_failure(const failure& f);

/// Prints `value` as one JSON document.
void print_json(const Json::Value& value);

/// Prints rows in aligned columns. The first row is the heading.
void print_table(const std::vector<std::vector<std::string>>& rows);

} // namespace eelgrassgw::ctl

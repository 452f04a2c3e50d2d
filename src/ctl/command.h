#pragma once

/// The commands of eelgrassctl.

#include "eelgrassgw/platform/http_object_store.h"

#include <string>
#include <vector>

namespace eelgrassgw::ctl {

/// Exit codes, the same for every command.
enum exit_code : int {
    exit_ok = 0,
    exit_difference = 1, ///< The audit found a difference; the configurations differ.
    exit_usage = 2,      ///< A flag or a file is wrong.
    exit_refused = 3,    ///< A rule forbids it; nothing was changed.
    exit_unreachable = 4 ///< The object API or a process cannot be asked; repeat the command.
};

/// What the flags gave.
struct options {
    std::string object_api;
    std::string fleet_key;
    std::string file;
    std::string by;
    std::string reason;
    std::int64_t base = -1;
    std::string customer;
    std::string budget;
    std::string id;
    std::int64_t amount = 0;
    std::string agent;
    std::string logs;
    bool json = false;
};

struct command {
    const char* name;
    const char* usage;
    const char* help;
    int (*run)(http_object_store& store, const options& with);
};

int validate(http_object_store& store, const options& with);
int apply(http_object_store& store, const options& with);
int show(http_object_store& store, const options& with);
int diff(http_object_store& store, const options& with);
int top_up(http_object_store& store, const options& with);
int budget(http_object_store& store, const options& with);
int audit(http_object_store& store, const options& with);
int held(http_object_store& store, const options& with);
int explain(http_object_store& store, const options& with);
int drain(http_object_store& store, const options& with);
int forget_agent(http_object_store& store, const options& with);

/// Prints a failure and returns its exit code.
int report(const failure& f);

/// Prints `value` as JSON, one document.
void print_json(const Json::Value& value);

/// Prints rows in columns; the first row is the heading.
void print_table(const std::vector<std::vector<std::string>>& rows);

} // namespace eelgrassgw::ctl

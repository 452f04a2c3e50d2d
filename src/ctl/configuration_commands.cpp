/// Implements the commands about the configuration: validate, apply, show and diff.

#include "command.h"
#include "eelgrassgw/configuration/configuration_store.h"
#include "eelgrassgw/settings/process_settings.h"

#include <iostream>

namespace eelgrassgw::ctl {

namespace {

result<Json::Value> read_document(const std::string& file) {
    const result<std::string> text = read_file(file);
    if (!text) {
        return make_failure(errc::malformed, "read configuration", "", text.error().message);
    }
    result<Json::Value> document = parse_json(text.value());
    if (!document) {
        return make_failure(errc::malformed, "read configuration", file, document.error().message);
    }
    return document;
}

result<configuration> read_current_configuration(http_object_store& store) {
    const result<std::optional<configuration>> stored = configuration_store<http_object_store>(store).read();
    if (!stored) {
        return stored.error();
    }
    if (!stored.value()) {
        return make_failure(errc::not_found, "read configuration", "", "no configuration is in force");
    }
    return *stored.value();
}

void append_customer(std::vector<std::vector<std::string>>& rows, Json::Value& json,
                     const configuration& current, const std::string& customer) {
    for (const std::string& setting : configuration::setting_names()) {
        const effective_value value = current.effective_setting(customer, setting);
        rows.push_back({customer, setting, to_text(value.value), value.source});
        json[customer][setting]["value"] = value.value;
        json[customer][setting]["source"] = value.source;
    }
}

/// Collects all values by path, so that two documents can be compared line by line.
void flatten(const Json::Value& value, const std::string& path,
             std::map<std::string, std::string>& value_by_path) {
    if (value.isObject() && !value.empty()) {
        for (const std::string& name : value.getMemberNames()) {
            flatten(value[name], path.empty() ? name : path + "." + name, value_by_path);
        }
    } else if (value.isArray() && !value.empty()) {
        for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
            const std::string name = string_member(value[i], "name");
            flatten(value[i], path + "[" + (name.empty() ? std::to_string(i) : name) + "]", value_by_path);
        }
    } else {
        value_by_path[path] = to_text(value);
    }
}

} // namespace

int validate(http_object_store& /*store*/, const options& flags) {
    const result<Json::Value> document = read_document(flags.file);
    if (!document) {
        return report_failure(document.error());
    }
    const result<configuration> parsed = configuration::from_json(document.value());
    if (!parsed) {
        return report_failure(parsed.error());
    }
    std::cout << "configuration \"" << flags.file << "\" is valid\n";
    return exit_ok;
}

int apply(http_object_store& store, const options& flags) {
    const result<Json::Value> document = read_document(flags.file);
    if (!document) {
        return report_failure(document.error());
    }
    if (flags.changed_by.empty() || flags.reason.empty() || flags.base_revision < 0) {
        std::cerr << "eelgrassctl: apply needs --by, --reason and --base (the revision that the change "
                     "replaces; 0 for the first configuration)\n";
        return exit_usage;
    }
    const result<configuration> applied = configuration_store<http_object_store>(store).apply(
        document.value(), flags.base_revision, flags.changed_by, flags.reason);
    if (!applied) {
        return report_failure(applied.error());
    }
    std::cout << "revision " << applied.value().revision() << " is accepted\n";
    return exit_ok;
}

int show(http_object_store& store, const options& flags) {
    const result<configuration> current = read_current_configuration(store);
    if (!current) {
        return report_failure(current.error());
    }
    if (flags.customer.empty()) {
        print_json(current.value().document());
        return exit_ok;
    }
    if (current.value().find_customer(flags.customer) == nullptr) {
        std::cerr << "eelgrassctl: customer \"" << flags.customer << "\" does not exist in revision "
                  << current.value().revision() << "\n";
        return exit_refused;
    }
    std::vector<std::vector<std::string>> rows = {{"customer", "setting", "value", "where it comes from"}};
    Json::Value json;
    append_customer(rows, json, current.value(), flags.customer);
    if (flags.print_as_json) {
        print_json(json);
    } else {
        std::cout << "revision " << current.value().revision() << ", by "
                  << string_member(current.value().document(), "changed_by") << ": "
                  << string_member(current.value().document(), "reason") << "\n";
        print_table(rows);
    }
    return exit_ok;
}

int diff(http_object_store& store, const options& flags) {
    const result<Json::Value> document = read_document(flags.file);
    if (!document) {
        return report_failure(document.error());
    }
    const result<configuration> current = read_current_configuration(store);
    if (!current) {
        return report_failure(current.error());
    }
    std::map<std::string, std::string> before;
    std::map<std::string, std::string> after;
    flatten(current.value().document(), "", before);
    flatten(document.value(), "", after);
    for (const char* ignored_field : {"revision", "changed_by", "reason"}) {
        before.erase(ignored_field);
        after.erase(ignored_field);
    }
    int differences = 0;
    for (const auto& [path, value] : before) {
        const auto it = after.find(path);
        if (it == after.end() || it->second != value) {
            ++differences;
            std::cout << "- " << path << " = " << value << "\n";
        }
    }
    for (const auto& [path, value] : after) {
        const auto it = before.find(path);
        if (it == before.end() || it->second != value) {
            ++differences;
            std::cout << "+ " << path << " = " << value << "\n";
        }
    }
    return differences == 0 ? exit_ok : exit_difference;
}

} // namespace eelgrassgw::ctl

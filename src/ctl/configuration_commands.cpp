/// Commands about the configuration: validate, apply, show, diff.

#include "command.h"
#include "eelgrassgw/configuration/configuration_store.h"
#include "eelgrassgw/settings/process_settings.h"

#include <iostream>

namespace eelgrassgw::ctl {

namespace {

result<Json::Value> load(const std::string& file) {
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

result<configuration> in_force(http_object_store& store) {
    const result<std::optional<configuration>> read = configuration_store<http_object_store>(store).read();
    if (!read) {
        return read.error();
    }
    if (!read.value()) {
        return make_failure(errc::not_found, "read configuration", "", "no configuration is in force");
    }
    return *read.value();
}

void append_customer(std::vector<std::vector<std::string>>& rows, Json::Value& json,
                     const configuration& shown, const std::string& customer) {
    for (const std::string& setting : configuration::setting_names()) {
        const effective_value value = shown.effective_setting(customer, setting);
        rows.push_back({customer, setting, to_text(value.value), value.source});
        json[customer][setting]["value"] = value.value;
        json[customer][setting]["source"] = value.source;
    }
}

/// All values by path, so that two documents can be compared line by line.
void flatten(const Json::Value& value, const std::string& path, std::map<std::string, std::string>& flat) {
    if (value.isObject() && !value.empty()) {
        for (const std::string& name : value.getMemberNames()) {
            flatten(value[name], path.empty() ? name : path + "." + name, flat);
        }
    } else if (value.isArray() && !value.empty()) {
        for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
            const std::string name = string_member(value[i], "name");
            flatten(value[i], path + "[" + (name.empty() ? std::to_string(i) : name) + "]", flat);
        }
    } else {
        flat[path] = to_text(value);
    }
}

} // namespace

int validate(http_object_store& /*store*/, const options& with) {
    const result<Json::Value> document = load(with.file);
    if (!document) {
        return report(document.error());
    }
    const result<configuration> parsed = configuration::from_json(document.value());
    if (!parsed) {
        return report(parsed.error());
    }
    std::cout << "configuration \"" << with.file << "\" is valid\n";
    return exit_ok;
}

int apply(http_object_store& store, const options& with) {
    const result<Json::Value> document = load(with.file);
    if (!document) {
        return report(document.error());
    }
    if (with.by.empty() || with.reason.empty() || with.base < 0) {
        std::cerr << "eelgrassctl: apply needs --by, --reason and --base (the revision to be replaced, 0 at "
                     "first)\n";
        return exit_usage;
    }
    const result<configuration> applied = configuration_store<http_object_store>(store).apply(
        document.value(), with.base, with.by, with.reason);
    if (!applied) {
        return report(applied.error());
    }
    std::cout << "revision " << applied.value().revision() << " is accepted\n";
    return exit_ok;
}

int show(http_object_store& store, const options& with) {
    const result<configuration> shown = in_force(store);
    if (!shown) {
        return report(shown.error());
    }
    if (with.customer.empty()) {
        print_json(shown.value().document());
        return exit_ok;
    }
    if (shown.value().find_customer(with.customer) == nullptr) {
        std::cerr << "eelgrassctl: customer \"" << with.customer << "\" does not exist in revision "
                  << shown.value().revision() << "\n";
        return exit_refused;
    }
    std::vector<std::vector<std::string>> rows = {{"customer", "setting", "value", "where it comes from"}};
    Json::Value json;
    append_customer(rows, json, shown.value(), with.customer);
    if (with.json) {
        print_json(json);
    } else {
        std::cout << "revision " << shown.value().revision() << ", by "
                  << string_member(shown.value().document(), "changed_by") << ": "
                  << string_member(shown.value().document(), "reason") << "\n";
        print_table(rows);
    }
    return exit_ok;
}

int diff(http_object_store& store, const options& with) {
    const result<Json::Value> document = load(with.file);
    if (!document) {
        return report(document.error());
    }
    const result<configuration> current = in_force(store);
    if (!current) {
        return report(current.error());
    }
    std::map<std::string, std::string> before;
    std::map<std::string, std::string> after;
    flatten(current.value().document(), "", before);
    flatten(document.value(), "", after);
    for (const char* stamp : {"revision", "changed_by", "reason"}) {
        before.erase(stamp);
        after.erase(stamp);
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

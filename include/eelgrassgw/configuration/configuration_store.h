#pragma once

/// The accepted configuration in the object API.

#include "eelgrassgw/configuration/configuration.h"
#include "eelgrassgw/platform/object_store.h"

namespace eelgrassgw {

extern const char* const configuration_key;

/// Key under which revision `revision` is kept for auditors.
std::string configuration_history_key(configuration_revision revision);

/// Thread-safe, since it keeps no state beside the store.
template <object_store Store>
class configuration_store {
public:
    explicit configuration_store(Store& store) : store_(store) {}

    /// The configuration in force, or nothing where none was ever accepted.
    result<std::optional<configuration>> read() {
        const result<std::optional<stored_object>> object = store_.get(configuration_key);
        if (!object) {
            return object.error();
        }
        if (!object.value()) {
            return std::optional<configuration>();
        }
        const result<configuration> parsed = parse(object.value()->value);
        if (!parsed) {
            return parsed.error();
        }
        return std::optional<configuration>(parsed.value());
    }

    /// Validates `document` and puts it in force as revision `base` + 1. A repeated call with the same
    /// document after a lost answer succeeds. Errors: `invalid_configuration`; `version_conflict`, which
    /// tells who changed it meanwhile; `outcome_unknown`: repeat the call.
    result<configuration> apply(Json::Value document, configuration_revision base,
                                const std::string& changed_by, const std::string& reason) {
        document["revision"] = Json::Int64(base + 1);
        document["changed_by"] = changed_by;
        document["reason"] = reason;
        result<configuration> wanted = configuration::from_json(document);
        if (!wanted) {
            return wanted;
        }
        const result<std::optional<stored_object>> object = store_.get(configuration_key);
        if (!object) {
            return object.error();
        }
        const result<done> allowed = check_base(object.value(), wanted.value(), base);
        if (!allowed) {
            return allowed.error();
        }
        const std::string text = to_text(document);
        if (object.value() && object.value()->value == text) {
            return keep_history(wanted, text);
        }
        const object_version version = object.value() ? object.value()->version : absent_version;
        const result<object_version> written = store_.put(configuration_key, text, version);
        if (written.failed_with(errc::version_conflict)) {
            return settle_conflict(wanted, text, base);
        }
        if (!written) {
            return written.error();
        }
        return keep_history(wanted, text);
    }

private:
    static result<configuration> parse(const std::string& text) {
        const result<Json::Value> document = parse_json(text);
        if (!document) {
            return document.error();
        }
        return configuration::from_json(document.value());
    }

    static result<done> check_base(const std::optional<stored_object>& object, const configuration& wanted,
                                   configuration_revision base) {
        if (!object) {
            return base == 0 ? result<done>(done{})
                             : make_failure(errc::version_conflict, "apply configuration", "",
                                            "no configuration is in force, but revision " +
                                                std::to_string(base) + " was to be replaced");
        }
        const result<configuration> current = parse(object->value);
        if (!current) {
            return current.error();
        }
        if (current.value().document() == wanted.document()) {
            return done{};
        }
        if (current.value().revision() != base) {
            const Json::Value found = current.value().document();
            return make_failure(errc::version_conflict, "apply configuration", "",
                                "revision " + std::to_string(current.value().revision()) + " by \"" +
                                    string_member(found, "changed_by") + "\" is in force (" +
                                    string_member(found, "reason") + "), not revision " +
                                    std::to_string(base));
        }
        if (current.value().ledger_shards() != wanted.ledger_shards()) {
            return make_failure(errc::invalid_configuration, "apply configuration", "",
                                "field \"ledger_shards\" in \"defaults\" cannot change once budgets exist");
        }
        return done{};
    }

    /// A conflict may come from this very write, sent twice by the transport.
    result<configuration> settle_conflict(const result<configuration>& wanted, const std::string& text,
                                          configuration_revision base) {
        const result<std::optional<stored_object>> object = store_.get(configuration_key);
        if (!object) {
            return object.error();
        }
        if (object.value() && object.value()->value == text) {
            return keep_history(wanted, text);
        }
        const result<done> allowed = check_base(object.value(), wanted.value(), base);
        return allowed
                   ? make_failure(errc::version_conflict, "apply configuration", "", "it changed meanwhile")
                   : allowed.error();
    }

    result<configuration> keep_history(const result<configuration>& accepted, const std::string& text) {
        const std::string key = configuration_history_key(accepted.value().revision());
        const result<object_version> kept = store_.put(key, text, absent_version);
        if (!kept && !kept.failed_with(errc::version_conflict)) {
            return kept.error();
        }
        return accepted;
    }

    Store& store_;
};

} // namespace eelgrassgw

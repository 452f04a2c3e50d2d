#pragma once

/// Storage of the accepted configuration in the object API.

#include "eelgrassgw/configuration/configuration.h"
#include "eelgrassgw/platform/object_store.h"

namespace eelgrassgw {

/// Key of the current configuration.
extern const char* const configuration_key;

/// Returns the key under which the store keeps revision `revision` for auditors.
std::string configuration_history_key(configuration_revision revision);

/// Reads and replaces the configuration in the store. Thread-safe, because it has no state besides the store.
template <object_store Store>
class configuration_store {
public:
    explicit configuration_store(Store& store) : store_(store) {}

    /// Returns the current configuration, or `std::nullopt` if no configuration was ever accepted.
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

    /// Validates `document` and stores it as revision `base_revision` + 1. A repeated call with the same
    /// document after a lost answer succeeds. Errors: `invalid_configuration`; `version_conflict`, whose
    /// message names the author of the current revision; `outcome_unknown`, after which the caller should
    /// repeat the call.
    result<configuration> apply(Json::Value document, configuration_revision base_revision,
                                const std::string& changed_by, const std::string& reason) {
        document["revision"] = Json::Int64(base_revision + 1);
        document["changed_by"] = changed_by;
        document["reason"] = reason;
        result<configuration> proposed = configuration::from_json(document);
        if (!proposed) {
            return proposed;
        }
        const result<std::optional<stored_object>> object = store_.get(configuration_key);
        if (!object) {
            return object.error();
        }
        const result<done> allowed = check_base_revision(object.value(), proposed.value(), base_revision);
        if (!allowed) {
            return allowed.error();
        }
        const std::string text = to_text(document);
        if (object.value() && object.value()->value == text) {
            return write_history(proposed, text);
        }
        const object_version version = object.value() ? object.value()->version : absent_version;
        const result<object_version> written = store_.put(configuration_key, text, version);
        if (written.failed_with(errc::version_conflict)) {
            return resolve_conflict(proposed, text, base_revision);
        }
        if (!written) {
            return written.error();
        }
        return write_history(proposed, text);
    }

private:
    static result<configuration> parse(const std::string& text) {
        const result<Json::Value> document = parse_json(text);
        if (!document) {
            return document.error();
        }
        return configuration::from_json(document.value());
    }

    static result<done> check_base_revision(const std::optional<stored_object>& object,
                                            const configuration& proposed,
                                            configuration_revision base_revision) {
        if (!object) {
            return base_revision == 0
                       ? result<done>(done{})
                       : make_failure(errc::version_conflict, "apply configuration", "",
                                      "no configuration is in force, but revision " +
                                          std::to_string(base_revision) + " was to be replaced");
        }
        const result<configuration> current = parse(object->value);
        if (!current) {
            return current.error();
        }
        if (current.value().document() == proposed.document()) {
            return done{};
        }
        if (current.value().revision() != base_revision) {
            const Json::Value current_document = current.value().document();
            return make_failure(errc::version_conflict, "apply configuration", "",
                                "revision " + std::to_string(current.value().revision()) + " by \"" +
                                    string_member(current_document, "changed_by") + "\" is in force (" +
                                    string_member(current_document, "reason") + "), not revision " +
                                    std::to_string(base_revision));
        }
        if (current.value().ledger_shards() != proposed.ledger_shards()) {
            return make_failure(errc::invalid_configuration, "apply configuration", "",
                                "field \"ledger_shards\" in \"defaults\" cannot change once budgets exist");
        }
        return done{};
    }

    /// Handles a version conflict. The conflict may come from this same write if the transport sent it twice.
    result<configuration> resolve_conflict(const result<configuration>& proposed, const std::string& text,
                                           configuration_revision base_revision) {
        const result<std::optional<stored_object>> object = store_.get(configuration_key);
        if (!object) {
            return object.error();
        }
        if (object.value() && object.value()->value == text) {
            return write_history(proposed, text);
        }
        const result<done> allowed = check_base_revision(object.value(), proposed.value(), base_revision);
        return allowed ? make_failure(errc::version_conflict, "apply configuration", "",
                                      "the stored configuration changed during the write")
                       : allowed.error();
    }

    result<configuration> write_history(const result<configuration>& accepted, const std::string& text) {
        const std::string key = configuration_history_key(accepted.value().revision());
        const result<object_version> written = store_.put(key, text, absent_version);
        if (!written && !written.failed_with(errc::version_conflict)) {
            return written.error();
        }
        return accepted;
    }

    Store& store_;
};

} // namespace eelgrassgw

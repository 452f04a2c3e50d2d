#pragma once

/// Checked reading of one JSON object: every field has a range, and no field is unknown.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Collects every error instead of stopping at the first. Not thread-safe.
/// Example: `document_reader in(json, "router.json"); port = in.integer("port", 1, 65535); in.finish();`
class document_reader {
public:
    /// `place` names the document in messages: a file, or a path within one.
    document_reader(const Json::Value& document, std::string place);

    /// A string that must be there and must not be empty.
    std::string text(const char* name);
    std::string text_or(const char* name, const std::string& fallback);

    /// One of `allowed`.
    std::string choice_or(const char* name, const std::vector<std::string>& allowed,
                          const std::string& fallback);

    std::int64_t integer(const char* name, std::int64_t least, std::int64_t most);
    std::int64_t integer_or(const char* name, std::int64_t least, std::int64_t most, std::int64_t fallback);

    /// A number with or without a fraction.
    double number_or(const char* name, double least, double most, double fallback);

    std::chrono::milliseconds milliseconds_or(const char* name, std::int64_t least, std::int64_t most,
                                              std::chrono::milliseconds fallback);
    bool boolean_or(const char* name, bool fallback);
    std::vector<std::string> texts_or_empty(const char* name);

    /// The member as it is: an array, or an empty one where it is absent.
    const Json::Value& array_or_empty(const char* name);
    const Json::Value& object_or_empty(const char* name);

    /// A member of any type that must be there; null where it is absent.
    const Json::Value& any(const char* name);

    /// Reports fields that nobody asked for.
    void finish();

    /// Adds an error of the caller's own.
    void report(const std::string& field, const std::string& value, const std::string& allowed);

    /// All errors as one failure of reading `file`.
    failure to_failure(const std::string& file) const;

    const std::vector<std::string>& errors() const { return errors_; }
    const std::string& place() const { return place_; }

private:
    const Json::Value* find(const char* name);

    const Json::Value& document_;
    std::string place_;
    std::set<std::string> known_;
    std::vector<std::string> errors_;
};

/// The whole text of `file`. Thread-safe.
result<std::string> read_file(const std::string& file);

/// The JSON document in `file`; the failure names the file and the place. Thread-safe.
result<Json::Value> load_document(const std::string& file);

} // namespace eelgrassgw

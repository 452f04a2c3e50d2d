#pragma once

/// Reader for one JSON object that checks the range of every field and rejects unknown fields.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Reads and validates fields, and collects every error instead of stopping at the first. Not thread-safe.
/// Example: `document_reader in(json, "router.json"); port = in.integer("port", 1, 65535); in.finish();`
class document_reader {
public:
    /// `place` identifies the document in error messages: a file name, or a path inside a document.
    document_reader(const Json::Value& document, std::string place);

    /// Returns a required, non-empty string.
    std::string text(const char* name);

    /// Returns a string that must not be empty, or `fallback` if it is absent.
    std::string text_or(const char* name, const std::string& fallback);

    /// Returns a string that must be one of `allowed`, or `fallback` if it is absent.
    std::string choice_or(const char* name, const std::vector<std::string>& allowed,
                          const std::string& fallback);

    /// Returns a required integer from `min_value` to `max_value`.
    std::int64_t integer(const char* name, std::int64_t min_value, std::int64_t max_value);

    /// Returns an integer from `min_value` to `max_value`, or `fallback` if it is absent.
    std::int64_t integer_or(const char* name, std::int64_t min_value, std::int64_t max_value,
                            std::int64_t fallback);

    /// Returns a number from `min_value` to `max_value`, which may have a fraction, or `fallback` if it is
    /// absent.
    double number_or(const char* name, double min_value, double max_value, double fallback);

    /// Returns a duration given as an integer number of milliseconds, or `fallback` if it is absent.
    std::chrono::milliseconds milliseconds_or(const char* name, std::int64_t min_value,
                                              std::int64_t max_value, std::chrono::milliseconds fallback);

    /// Returns a boolean, or `fallback` if it is absent.
    bool boolean_or(const char* name, bool fallback);

    /// Returns a list of non-empty strings, or an empty list if it is absent.
    std::vector<std::string> texts_or_empty(const char* name);

    /// Returns an array, or an empty one if it is absent.
    const Json::Value& array_or_empty(const char* name);

    /// Returns an object, or an empty one if it is absent.
    const Json::Value& object_or_empty(const char* name);

    /// Returns a required member of any type. Reports an error and returns null if it is absent.
    const Json::Value& required_value(const char* name);

    /// Reports an error for every field that was not read.
    void finish();

    /// Adds an error found by the caller: `field` has `value`, but only `allowed` is valid.
    void report(const std::string& field, const std::string& value, const std::string& allowed);

    /// Adds the errors of a reader for an object inside this one.
    void add_errors(const document_reader& inner);

    /// Returns all errors as one failure to read `file`.
    failure to_failure(const std::string& file) const;

    const std::vector<std::string>& errors() const { return errors_; }
    const std::string& place() const { return place_; }

private:
    const Json::Value* find(const char* name);

    const Json::Value& document_;
    std::string place_;
    std::set<std::string> requested_names_;
    std::vector<std::string> errors_;
};

/// Returns the whole content of `file`. Thread-safe.
result<std::string> read_file(const std::string& file);

/// Returns the JSON document in `file`. The failure names the file and the position of the error.
/// Thread-safe.
result<Json::Value> load_document(const std::string& file);

} // namespace eelgrassgw

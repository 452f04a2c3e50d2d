#include "eelgrassgw/settings/document_reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace eelgrassgw {

namespace {

std::string join(const std::vector<std::string>& parts) {
    std::string line;
    for (const std::string& part : parts) {
        line += line.empty() ? part : ", " + part;
    }
    return line;
}

std::string range_text(std::int64_t min_value, std::int64_t max_value) {
    return "a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value);
}

const Json::Value empty_array{Json::arrayValue};
const Json::Value empty_object{Json::objectValue};

} // namespace

document_reader::document_reader(const Json::Value& document, std::string place)
    : document_(document), place_(std::move(place)) {
    if (!document_.isObject()) {
        errors_.push_back("\"" + place_ + "\" is not a JSON object");
    }
}

const Json::Value* document_reader::find(const char* name) {
    requested_names_.insert(name);
    if (!document_.isObject() || !document_.isMember(name)) {
        return nullptr;
    }
    return &document_[name];
}

void document_reader::report(const std::string& field, const std::string& value, const std::string& allowed) {
    errors_.push_back("field \"" + field + "\" in \"" + place_ + "\" is " + value + "; allowed: " + allowed);
}

std::string document_reader::text(const char* name) {
    const Json::Value* value = find(name);
    if (value == nullptr) {
        report(name, "missing", "a text");
        return {};
    }
    if (!value->isString() || value->asString().empty()) {
        report(name, to_text(*value), "a text that is not empty");
        return {};
    }
    return value->asString();
}

std::string document_reader::text_or(const char* name, const std::string& fallback) {
    return find(name) == nullptr ? fallback : text(name);
}

std::string document_reader::choice_or(const char* name, const std::vector<std::string>& allowed,
                                       const std::string& fallback) {
    const Json::Value* value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    const std::string chosen = value->isString() ? value->asString() : "";
    if (std::find(allowed.begin(), allowed.end(), chosen) == allowed.end()) {
        report(name, to_text(*value), "one of " + join(allowed));
        return fallback;
    }
    return chosen;
}

std::int64_t document_reader::integer(const char* name, std::int64_t min_value, std::int64_t max_value) {
    if (find(name) == nullptr) {
        report(name, "missing", range_text(min_value, max_value));
        return min_value;
    }
    return integer_or(name, min_value, max_value, min_value);
}

std::int64_t document_reader::integer_or(const char* name, std::int64_t min_value, std::int64_t max_value,
                                         std::int64_t fallback) {
    const Json::Value* value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isInt64() || value->asInt64() < min_value || value->asInt64() > max_value) {
        report(name, to_text(*value), range_text(min_value, max_value));
        return fallback;
    }
    return value->asInt64();
}

std::chrono::milliseconds document_reader::milliseconds_or(const char* name, std::int64_t min_value,
                                                           std::int64_t max_value,
                                                           std::chrono::milliseconds fallback) {
    return std::chrono::milliseconds(integer_or(name, min_value, max_value, fallback.count()));
}

bool document_reader::boolean_or(const char* name, bool fallback) {
    const Json::Value* value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isBool()) {
        report(name, to_text(*value), "true or false");
        return fallback;
    }
    return value->asBool();
}

std::vector<std::string> document_reader::texts_or_empty(const char* name) {
    std::vector<std::string> texts;
    for (const Json::Value& entry : array_or_empty(name)) {
        if (entry.isString() && !entry.asString().empty()) {
            texts.push_back(entry.asString());
        } else {
            report(name, to_text(entry), "a list of texts");
        }
    }
    return texts;
}

const Json::Value& document_reader::array_or_empty(const char* name) {
    const Json::Value* value = find(name);
    if (value != nullptr && !value->isArray()) {
        report(name, to_text(*value), "a list");
        return empty_array;
    }
    return value == nullptr ? empty_array : *value;
}

const Json::Value& document_reader::object_or_empty(const char* name) {
    const Json::Value* value = find(name);
    if (value != nullptr && !value->isObject()) {
        report(name, to_text(*value), "an object");
        return empty_object;
    }
    return value == nullptr ? empty_object : *value;
}

const Json::Value& document_reader::required_value(const char* name) {
    const Json::Value* value = find(name);
    if (value == nullptr) {
        report(name, "missing", "a value");
        return Json::Value::nullSingleton();
    }
    return *value;
}

double document_reader::number_or(const char* name, double min_value, double max_value, double fallback) {
    const Json::Value* value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isNumeric() || value->asDouble() < min_value || value->asDouble() > max_value) {
        report(name, to_text(*value),
               "a number from " + std::to_string(min_value) + " to " + std::to_string(max_value));
        return fallback;
    }
    return value->asDouble();
}

void document_reader::finish() {
    if (!document_.isObject()) {
        return;
    }
    for (const std::string& name : document_.getMemberNames()) {
        if (!requested_names_.contains(name)) {
            errors_.push_back("field \"" + name + "\" in \"" + place_ + "\" is unknown; allowed: " +
                              join({requested_names_.begin(), requested_names_.end()}));
        }
    }
}

void document_reader::add_errors(const document_reader& inner) {
    errors_.insert(errors_.end(), inner.errors_.begin(), inner.errors_.end());
}

failure document_reader::to_failure(const std::string& file) const {
    std::string lines;
    for (const std::string& error : errors_) {
        lines += "\n  " + error;
    }
    return make_failure(errc::malformed, "read settings", file, lines);
}

result<std::string> read_file(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        return make_failure(errc::not_found, "read file", "", "file \"" + file + "\" cannot be read");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

result<Json::Value> load_document(const std::string& file) {
    const result<std::string> text = read_file(file);
    if (!text) {
        return text.error();
    }
    const result<Json::Value> document = parse_json(text.value());
    if (!document) {
        return make_failure(errc::malformed, "read settings", file, document.error().message);
    }
    return document;
}

} // namespace eelgrassgw

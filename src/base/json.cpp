#include "eelgrassgw/base/json.h"

#include <memory>

namespace eelgrassgw {

result<Json::Value> parse_json(const std::string& text) {
    Json::CharReaderBuilder builder;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["allowSpecialFloats"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return value;
        }
    } catch (const Json::Exception& e) { // The reader throws if the document nests too deeply.
        errors = e.what();
    }
    return make_failure(errc::malformed, "parse JSON", "", errors);
}

std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

std::string to_pretty_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value) + "\n";
}

const Json::Value& member(const Json::Value& object, const char* name) {
    static const Json::Value null;
    return object.isObject() ? object[name] : null;
}

std::string string_member(const Json::Value& object, const char* name, const std::string& fallback) {
    const Json::Value& value = member(object, name);
    return value.isString() ? value.asString() : fallback;
}

std::int64_t int_member(const Json::Value& object, const char* name, std::int64_t fallback) {
    const Json::Value& value = member(object, name);
    return value.isInt64() ? value.asInt64() : fallback;
}

bool bool_member(const Json::Value& object, const char* name, bool fallback) {
    const Json::Value& value = member(object, name);
    return value.isBool() ? value.asBool() : fallback;
}

std::vector<std::string> string_elements(const Json::Value& list) {
    std::vector<std::string> texts;
    if (!list.isArray()) {
        return texts;
    }
    for (const Json::Value& entry : list) {
        if (entry.isString()) {
            texts.push_back(entry.asString());
        }
    }
    return texts;
}

} // namespace eelgrassgw

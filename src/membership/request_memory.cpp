#include "eelgrassgw/membership/request_memory.h"

namespace eelgrassgw {

std::string request_memory_prefix(const std::string& backend_server) {
    return "memory/" + backend_server + "/";
}

std::string request_memory_part_to_text(const std::vector<std::string>& request_ids) {
    Json::Value json;
    json["request_ids"] = Json::arrayValue;
    for (const std::string& id : request_ids) {
        json["request_ids"].append(id);
    }
    return to_text(json);
}

result<std::vector<std::string>> parse_request_memory_part(const std::string& text) {
    const result<Json::Value> parsed = parse_json(text);
    if (!parsed) {
        return parsed.error();
    }
    return string_elements(member(parsed.value(), "request_ids"));
}

} // namespace eelgrassgw

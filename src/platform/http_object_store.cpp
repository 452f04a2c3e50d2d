#include "eelgrassgw/platform/http_object_store.h"

#include "base/json_scanner.h"
#include "eelgrassgw/base/percent_encoding.h"

#include <string_view>

namespace eelgrassgw {

static_assert(object_store<http_object_store>);

namespace {

constexpr const char* version_header = "object-version";
constexpr const char* expected_version_header = "expected-version";

http_request object_request(const char* method, const std::string& key) {
    http_request request;
    request.method = method;
    request.path = "/v1/object";
    request.query = "key=" + percent_encode_path(key);
    request.failpoint_name = std::string("store_") + method + "_" + key.substr(0, key.find('/'));
    return request;
}

object_version version_of(const http_response& response) {
    return std::strtoull(response.header(version_header).c_str(), nullptr, 10);
}

failure unexpected_status_failure(const http_request& request, const endpoint& api,
                                  const http_response& response) {
    // A server error may follow a write that took effect, so the outcome is unknown.
    return make_failure(errc::outcome_unknown, request.method + " " + request.path + "?" + request.query,
                        api.text(), "status " + std::to_string(response.status));
}

failure version_conflict_failure(const http_request& request, const endpoint& api,
                                 const http_response& response) {
    return make_failure(errc::version_conflict, request.method + " " + request.query, api.text(),
                        "the object has version " + response.header(version_header));
}

/// Reads one object of a list or watch. An object that no parser accepts, as another writer may leave it,
/// keeps its key and version and has no value, so that it costs no other object.
Json::Value read_object(std::string_view text) {
    if (const result<Json::Value> whole = parse_json(std::string(text))) {
        return whole.value();
    }
    Json::Value object(Json::objectValue);
    object["key"] = parse_json_member(text, "key");
    object["version"] = parse_json_member(text, "version");
    return object;
}

result<object_changes> parse_changes(const http_response& response, const endpoint& api) {
    object_changes changes;
    const Json::Value store_version = parse_json_member(response.body, "store_version");
    if (!store_version.isUInt64()) {
        return make_failure(errc::outcome_unknown, "read object list", api.text(),
                            "field \"store_version\" is not a whole number from 0");
    }
    changes.store_version = store_version.asUInt64();
    for (const std::string_view each : split_json_array(find_json_member(response.body, "objects"))) {
        const Json::Value object = read_object(each);
        const Json::Value& version = member(object, "version");
        if (version.isUInt64()) { // An object without a version cannot be ordered among its changes.
            changes.changed.push_back(
                {string_member(object, "key"), version.asUInt64(), string_member(object, "value")});
        }
    }
    return changes;
}

} // namespace

http_object_store::http_object_store(endpoint api, http_timeouts timeouts)
    : pool_(std::move(api)), timeouts_(timeouts) {}

result<http_response> http_object_store::call(http_request request, const http_timeouts& timeouts) {
    result<http_response> response = pool_.call(request, timeouts);
    if (response) {
        body_bytes_ += request.body.size() + response.value().body.size();
    } else {
        ++failures_;
    }
    return response;
}

result<std::optional<stored_object>> http_object_store::get(const std::string& key) {
    ++gets_;
    const http_request request = object_request("GET", key);
    const result<http_response> response = call(request, timeouts_);
    if (!response) {
        return response.error();
    }
    if (response.value().status == 404) {
        return std::optional<stored_object>();
    }
    if (response.value().status != 200) {
        return unexpected_status_failure(request, pool_.peer(), response.value());
    }
    return std::optional<stored_object>({key, version_of(response.value()), response.value().body});
}

result<object_version> http_object_store::put(const std::string& key, const std::string& value,
                                              object_version expected) {
    ++puts_;
    http_request request = object_request("PUT", key);
    request.body = value;
    return write(std::move(request), expected);
}

result<done> http_object_store::remove(const std::string& key, object_version expected) {
    ++removes_;
    const result<object_version> removed = write(object_request("DELETE", key), expected);
    return removed ? result<done>(done{}) : removed.error();
}

result<object_version> http_object_store::write(http_request request, object_version expected) {
    request.headers[expected_version_header] = std::to_string(expected);
    const result<http_response> response = call(request, timeouts_);
    if (!response) {
        return response.error();
    }
    if (response.value().status == 412) {
        return version_conflict_failure(request, pool_.peer(), response.value());
    }
    if (response.value().status != 200) {
        return unexpected_status_failure(request, pool_.peer(), response.value());
    }
    return version_of(response.value());
}

result<object_changes> http_object_store::list(const std::string& prefix) {
    ++lists_;
    http_request request;
    request.path = "/v1/objects";
    request.failpoint_name = "store_LIST_" + prefix.substr(0, prefix.find('/'));
    request.query = "prefix=" + percent_encode_path(prefix);
    const result<http_response> response = call(request, timeouts_);
    if (!response) {
        return response.error();
    }
    if (response.value().status != 200) {
        return unexpected_status_failure(request, pool_.peer(), response.value());
    }
    return parse_changes(response.value(), pool_.peer());
}

result<object_changes> http_object_store::watch(const std::string& prefix, object_version since,
                                                std::chrono::milliseconds wait) {
    ++watches_;
    http_request request;
    request.path = "/v1/watch";
    request.failpoint_name = "store_WATCH_" + prefix.substr(0, prefix.find('/'));
    request.query = "prefix=" + percent_encode_path(prefix) + "&since=" + std::to_string(since) +
                    "&wait_ms=" + std::to_string(wait.count());
    http_timeouts timeouts = timeouts_;
    timeouts.read += wait;
    const result<http_response> response = call(request, timeouts);
    if (!response) {
        return response.error();
    }
    if (response.value().status != 200) {
        return unexpected_status_failure(request, pool_.peer(), response.value());
    }
    return parse_changes(response.value(), pool_.peer());
}

store_call_counts http_object_store::counts() const {
    return {gets_, puts_, removes_, lists_, watches_, failures_, body_bytes_};
}

} // namespace eelgrassgw

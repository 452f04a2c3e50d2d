#include "eelgrassgw/router/caller_error.h"

#include "eelgrassgw/base/not_run_status.h"

namespace eelgrassgw {

const char* to_text(ran_status status) {
    switch (status) {
    case ran_status::no:
        return "no";
    case ran_status::unknown:
        return "unknown";
    case ran_status::yes:
        return "yes";
    }
    return "unknown";
}

void caller_error::mark_earlier_run_unchecked() {
    did_run = ran_status::unknown;
    safe_to_repeat = true;
    message += " This time it was not run; whether it ran before under the same key was not looked up.";
}

std::string caller_error::advice() const {
    switch (did_run) {
    case ran_status::no:
        return "The request did not run. It is safe to send it again.";
    case ran_status::yes:
        return "The request ran. Do not send it again under a new key.";
    case ran_status::unknown:
        break;
    }
    if (safe_to_repeat) {
        return "It is not known whether the request ran. Sending it again with the same key is safe.";
    }
    return "It is not known whether the request ran. Do not send it again under a new key: it could run "
           "twice. "
           "Ask GET /v1/requests/<id>, or send it again with the same Idempotency-Key, which never runs it "
           "twice.";
}

Json::Value caller_error::to_json(const std::string& request_id) const {
    Json::Value body;
    Json::Value& error = body["error"];
    error["code"] = code;
    error["type"] = code;
    error["message"] = message + " " + advice();
    error["ran"] = to_text(did_run);
    error["step"] = step;
    error["peer"] = peer;
    error["safe_to_repeat"] = safe_to_repeat;
    error["request_id"] = request_id;
    if (retry_after.count() > 0) {
        error["retry_after_ms"] = Json::Int64(retry_after.count());
    }
    return body;
}

int caller_error::response_status() const {
    constexpr int bad_gateway = 502;
    constexpr int gateway_timeout = 504;
    if (did_run == ran_status::no || !promises_not_run(static_cast<unsigned>(status))) {
        return status;
    }
    return did_run == ran_status::yes ? bad_gateway : gateway_timeout;
}

http_response caller_error::to_response(const std::string& request_id) const {
    http_response response = json_response(response_status(), to_json(request_id));
    if (!request_id.empty()) {
        response.headers["x-request-id"] = request_id;
    }
    if (retry_after.count() > 0) {
        constexpr std::int64_t ms_per_second = 1000;
        response.headers["retry-after"] =
            std::to_string((retry_after.count() + ms_per_second - 1) / ms_per_second);
    }
    return response;
}

} // namespace eelgrassgw

#include "gateway/refusal.h"

#include "eelgrassgw/base/json.h"

#include <array>
#include <cstdio>

namespace eelgrassgw {

namespace {

struct reason_entry {
    refusal_reason reason;
    const char* name;
    http::status status;
};

constexpr std::array reasons = {
    reason_entry{refusal_reason::no_configuration, "no_configuration", http::status::service_unavailable},
    reason_entry{refusal_reason::configuration_superseded, "configuration_superseded",
                 http::status::service_unavailable},
    reason_entry{refusal_reason::no_route, "no_route", http::status::not_found},
    reason_entry{refusal_reason::unknown_key, "unknown_key", http::status::unauthorized},
    reason_entry{refusal_reason::malformed, "malformed", http::status::bad_request},
    reason_entry{refusal_reason::head_too_large, "head_too_large",
                 http::status::request_header_fields_too_large},
    reason_entry{refusal_reason::body_too_large, "body_too_large", http::status::payload_too_large},
    reason_entry{refusal_reason::request_timeout, "request_timeout", http::status::request_timeout},
    reason_entry{refusal_reason::budget_exhausted, "budget_exhausted", http::status::payment_required},
    reason_entry{refusal_reason::budget_unknown, "budget_unknown", http::status::service_unavailable},
    reason_entry{refusal_reason::no_backend_server, "no_backend_server", http::status::service_unavailable},
    reason_entry{refusal_reason::stream_origin_unknown, "stream_origin_unknown",
                 http::status::service_unavailable},
    reason_entry{refusal_reason::no_server_of_version, "no_server_of_version",
                 http::status::service_unavailable},
    reason_entry{refusal_reason::overloaded, "overloaded", http::status::service_unavailable},
    reason_entry{refusal_reason::router_full, "router_full", http::status::service_unavailable},
    reason_entry{refusal_reason::prompt_quarantined, "prompt_quarantined", http::status::service_unavailable},
    reason_entry{refusal_reason::request_quarantined, "request_quarantined",
                 http::status::service_unavailable},
    reason_entry{refusal_reason::draining, "draining", http::status::service_unavailable},
    reason_entry{refusal_reason::caller_deadline, "caller_deadline", http::status::service_unavailable},
    reason_entry{refusal_reason::timeout, "timeout", http::status::gateway_timeout},
    reason_entry{refusal_reason::already_sent, "already_sent", http::status::bad_gateway},
    reason_entry{refusal_reason::backend_failed, "backend_failed", http::status::bad_gateway},
};

const reason_entry& entry_of(refusal_reason reason) {
    for (const reason_entry& each : reasons) {
        if (each.reason == reason) {
            return each;
        }
    }
    return reasons.back();
}

std::string format_seconds(std::chrono::milliseconds time) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f", double(time.count()) / 1000);
    return buf.data();
}

} // namespace

const char* name_of(refusal_reason reason) {
    return entry_of(reason).name;
}

http::status http_status_of(refusal_reason reason) {
    return entry_of(reason).status;
}

text_reply to_reply(const refusal& answer) {
    text_reply reply(http_status_of(answer.reason), 11);
    reply.set(http::field::content_type, "application/json");
    if (answer.retry_after.has_value()) {
        reply.set(http::field::retry_after, format_seconds(*answer.retry_after));
    }
    Json::Value body;
    body["error"] = name_of(answer.reason);
    body["message"] = answer.message;
    reply.body() = to_text(body);
    return reply;
}

} // namespace eelgrassgw

#include "eelgrassgw/run/ticket.h"

namespace eelgrassgw {

Json::Value ticket::to_json() const {
    Json::Value json;
    json["request_id"] = request_id;
    json["customer"] = customer;
    json["budget"] = budget;
    json["router"] = router;
    json["router_registered_at"] = Json::UInt64(router_registered_at);
    json["agent"] = agent;
    json["digest"] = digest;
    json["priority"] = priority;
    json["model"] = model;
    json["method"] = method;
    json["path"] = path;
    json["query"] = query;
    json["body"] = body;
    json["nonce"] = nonce;
    json["attempt"] = attempt;
    json["idempotent"] = idempotent;
    json["has_caller_key"] = has_caller_key;
    json["reserved"] = Json::Int64(reserved);
    json["max_tokens"] = Json::Int64(max_tokens);
    json["price"] = Json::Int64(price);
    json["deadline_ms"] = Json::Int64(deadline.count());
    json["revision"] = Json::Int64(revision);
    json["max_running"] = max_running;
    return json;
}

ticket ticket::from_json(const Json::Value& json) {
    ticket t;
    t.request_id = string_member(json, "request_id");
    t.customer = string_member(json, "customer");
    t.budget = string_member(json, "budget");
    t.router = string_member(json, "router");
    t.router_registered_at = static_cast<object_version>(int_member(json, "router_registered_at"));
    t.agent = string_member(json, "agent");
    t.digest = string_member(json, "digest");
    t.priority = string_member(json, "priority", "normal");
    t.model = string_member(json, "model");
    t.method = string_member(json, "method");
    t.path = string_member(json, "path");
    t.query = string_member(json, "query");
    t.body = string_member(json, "body");
    t.nonce = string_member(json, "nonce");
    t.attempt = static_cast<int>(int_member(json, "attempt", 1));
    t.idempotent = bool_member(json, "idempotent", true);
    t.has_caller_key = bool_member(json, "has_caller_key");
    t.reserved = int_member(json, "reserved");
    t.max_tokens = int_member(json, "max_tokens");
    t.price = int_member(json, "price");
    t.deadline = std::chrono::milliseconds(int_member(json, "deadline_ms"));
    t.revision = int_member(json, "revision");
    t.max_running = static_cast<int>(int_member(json, "max_running"));
    return t;
}

} // namespace eelgrassgw

#include "eelgrassgw/run/ticket.h"

namespace eelgrassgw {

Json::Value ticket::to_json() const {
    Json::Value to;
    to["request_id"] = request_id;
    to["customer"] = customer;
    to["budget"] = budget;
    to["router"] = router;
    to["router_registered_at"] = Json::UInt64(router_registered_at);
    to["agent"] = agent;
    to["digest"] = digest;
    to["priority"] = priority;
    to["model"] = model;
    to["method"] = method;
    to["path"] = path;
    to["query"] = query;
    to["body"] = body;
    to["nonce"] = nonce;
    to["attempt"] = attempt;
    to["idempotent"] = idempotent;
    to["has_caller_key"] = has_caller_key;
    to["reserved"] = Json::Int64(reserved);
    to["max_tokens"] = Json::Int64(max_tokens);
    to["price"] = Json::Int64(price);
    to["deadline_ms"] = Json::Int64(deadline.count());
    to["revision"] = Json::Int64(revision);
    to["max_running"] = max_running;
    return to;
}

ticket ticket::from_json(const Json::Value& from) {
    ticket t;
    t.request_id = string_member(from, "request_id");
    t.customer = string_member(from, "customer");
    t.budget = string_member(from, "budget");
    t.router = string_member(from, "router");
    t.router_registered_at = static_cast<object_version>(int_member(from, "router_registered_at"));
    t.agent = string_member(from, "agent");
    t.digest = string_member(from, "digest");
    t.priority = string_member(from, "priority", "normal");
    t.model = string_member(from, "model");
    t.method = string_member(from, "method");
    t.path = string_member(from, "path");
    t.query = string_member(from, "query");
    t.body = string_member(from, "body");
    t.nonce = string_member(from, "nonce");
    t.attempt = static_cast<int>(int_member(from, "attempt", 1));
    t.idempotent = bool_member(from, "idempotent", true);
    t.has_caller_key = bool_member(from, "has_caller_key");
    t.reserved = int_member(from, "reserved");
    t.max_tokens = int_member(from, "max_tokens");
    t.price = int_member(from, "price");
    t.deadline = std::chrono::milliseconds(int_member(from, "deadline_ms"));
    t.revision = int_member(from, "revision");
    t.max_running = static_cast<int>(int_member(from, "max_running"));
    return t;
}

} // namespace eelgrassgw

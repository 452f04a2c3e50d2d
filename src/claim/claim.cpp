#include "eelgrassgw/claim/claim.h"

namespace eelgrassgw {

namespace {

const char* claim_state_name(claim_state state) {
    switch (state) {
    case claim_state::claimed:
        return "claimed";
    case claim_state::done:
        return "done";
    case claim_state::not_run:
        return "not_run";
    }
    return "claimed";
}

claim_state parse_claim_state(const std::string& name) {
    if (name == "done") {
        return claim_state::done;
    }
    return name == "not_run" ? claim_state::not_run : claim_state::claimed;
}

} // namespace

std::string claim::to_text() const {
    Json::Value to;
    to["service"] = service;
    to["request_id"] = request_id;
    to["customer"] = customer;
    to["digest"] = digest;
    to["router"] = router;
    to["backend_server"] = backend_server;
    to["agent"] = agent;
    to["nonce"] = nonce;
    to["attempt"] = attempt;
    to["state"] = claim_state_name(state);
    to["status"] = status;
    to["answer"] = answer;
    return eelgrassgw::to_text(to);
}

result<claim> claim::from_text(const std::string& text) {
    const result<Json::Value> document = parse_json(text);
    if (!document) {
        return document.error();
    }
    const Json::Value& from = document.value();
    claim c;
    c.service = string_member(from, "service");
    c.request_id = string_member(from, "request_id");
    c.customer = string_member(from, "customer");
    c.digest = string_member(from, "digest");
    c.router = string_member(from, "router");
    c.backend_server = string_member(from, "backend_server");
    c.agent = string_member(from, "agent");
    c.nonce = string_member(from, "nonce");
    c.attempt = static_cast<int>(int_member(from, "attempt", 1));
    c.state = parse_claim_state(string_member(from, "state"));
    c.status = static_cast<int>(int_member(from, "status"));
    c.answer = string_member(from, "answer");
    return c;
}

std::string claim_key(const std::string& service, const std::string& request_id) {
    return "claims/" + service + "/" + request_id;
}

} // namespace eelgrassgw

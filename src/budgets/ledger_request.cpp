#include "budgets/ledger_request.h"

namespace eelgrassgw {

namespace {

constexpr const char* applied = "applied";
constexpr const char* refused = "refused";
constexpr const char* unknown = "unknown";

failure malformed(const std::string& step, const std::string& message) {
    return make_failure(errc::malformed, step, "", message);
}

const char* name_of(ledger_outcome::status_kind how) {
    switch (how) {
    case ledger_outcome::status_kind::applied:
        return applied;
    case ledger_outcome::status_kind::refused:
        return refused;
    case ledger_outcome::status_kind::unknown:
        return unknown;
    }
    return unknown;
}

} // namespace

Json::Value to_json(const ledger_request& request) {
    Json::Value document(Json::objectValue);
    document["router"] = request.router;
    document["notice_address"] = request.notice_address;
    document["sequence"] = Json::UInt64(request.sequence);
    document["previous"] = Json::UInt64(request.previous);
    document["urgent"] = request.is_urgent;
    Json::Value& changes = document["changes"] = Json::Value(Json::objectValue);
    for (const auto& [customer, wanted] : request.changes) {
        changes[customer]["amount"] = Json::Int64(wanted.amount);
        changes[customer]["most_taken"] = Json::Int64(wanted.max_taken);
    }
    if (request.is_restoration) {
        document["restoration"] = true;
    }
    if (request.is_last) {
        document["last"] = true;
    }
    for (const std::string& router : request.routers_seen) {
        document["routers_seen"].append(router);
    }
    return document;
}

result<ledger_request> parse_ledger_request(const Json::Value& document) {
    const std::string step = "parse ledger request";
    ledger_request request;
    request.router = string_member(document, "router");
    if (request.router.empty() || !member(document, "changes").isObject()) {
        return malformed(step, "the document has no text \"router\" or no object \"changes\"");
    }
    for (const char* name : {"sequence", "previous"}) {
        if (!member(document, name).isUInt64()) {
            return malformed(step, "field \"" + std::string(name) + "\" is not a whole number from 0");
        }
    }
    request.notice_address = string_member(document, "notice_address");
    request.sequence = document["sequence"].asUInt64();
    request.previous = document["previous"].asUInt64();
    request.is_urgent = bool_member(document, "urgent");
    request.is_restoration = bool_member(document, "restoration");
    request.is_last = bool_member(document, "last");
    const std::vector<std::string> seen = string_elements(member(document, "routers_seen"));
    request.routers_seen = {seen.begin(), seen.end()};
    for (const std::string& customer : document["changes"].getMemberNames()) {
        const Json::Value& wanted = document["changes"][customer];
        const Json::Value& amount = member(wanted, "amount");
        const Json::Value& max_taken = member(wanted, "most_taken");
        if (!amount.isInt64() || !max_taken.isInt64()) {
            return malformed(step, "the change for customer \"" + customer +
                                       "\" has no whole numbers \"amount\" and \"most_taken\"");
        }
        request.changes[customer] = {amount.asInt64(), max_taken.asInt64()};
    }
    return request;
}

Json::Value to_json(const ledger_outcome& outcome) {
    Json::Value document(Json::objectValue);
    document["outcome"] = name_of(outcome.status);
    document["revision"] = Json::UInt64(outcome.current.position.revision);
    document["era"] = Json::UInt64(outcome.current.position.era);
    document["ledger"] = to_json(outcome.current.ledger);
    if (!outcome.error.empty()) {
        document["why"] = outcome.error;
    }
    return document;
}

result<ledger_outcome> parse_ledger_outcome(const Json::Value& document) {
    const std::string step = "parse ledger outcome";
    ledger_outcome outcome;
    outcome.error = string_member(document, "why");
    const std::string how = string_member(document, "outcome");
    if (how == unknown) {
        return outcome;
    }
    if (how != applied && how != refused) {
        return malformed(step, "outcome \"" + how + "\" is none of applied, refused, unknown");
    }
    const Json::Value& revision = member(document, "revision");
    if (!revision.isUInt64()) {
        return malformed(step, "field \"revision\" is not a whole number from 0");
    }
    result<budget_ledger> ledger = parse_budget_ledger(member(document, "ledger"));
    if (!ledger) {
        return ledger.error();
    }
    outcome.status =
        how == applied ? ledger_outcome::status_kind::applied : ledger_outcome::status_kind::refused;
    const store_position position{std::uint64_t(int_member(document, "era")), revision.asUInt64()};
    outcome.current = {std::move(ledger.value()), position};
    return outcome;
}

} // namespace eelgrassgw

#include "eelgrassgw/journal/journal_segment.h"

#include "eelgrassgw/base/decimal.h"

#include <cstdio>

namespace eelgrassgw {

const char* const journal_prefix = "journal/";

Json::Value billing_record::to_json() const {
    Json::Value to;
    to["request_id"] = request_id;
    to["customer"] = customer;
    to["budget"] = budget;
    to["agent"] = agent;
    to["outcome"] = outcome;
    to["attempt"] = attempt;
    to["billed"] = Json::Int64(billed);
    if (withheld != 0) {
        to["withheld"] = Json::Int64(withheld);
        to["reason"] = reason;
    }
    return to;
}

billing_record billing_record::from_json(const Json::Value& from) {
    billing_record record;
    record.request_id = string_member(from, "request_id");
    record.customer = string_member(from, "customer");
    record.budget = string_member(from, "budget");
    record.agent = string_member(from, "agent");
    record.outcome = string_member(from, "outcome");
    record.attempt = static_cast<int>(int_member(from, "attempt", 1));
    record.billed = int_member(from, "billed");
    record.withheld = int_member(from, "withheld");
    record.reason = string_member(from, "reason");
    return record;
}

std::string journal_segment::to_text() const {
    Json::Value to;
    to["incarnation"] = incarnation;
    to["number"] = Json::Int64(number);
    to["writer"] = writer;
    to["seal"] = seal;
    to["records"] = Json::arrayValue;
    for (const billing_record& record : records) {
        to["records"].append(record.to_json());
    }
    to["lost_agents"] = Json::arrayValue;
    for (const std::string& agent : lost_agents) {
        to["lost_agents"].append(agent);
    }
    return eelgrassgw::to_text(to);
}

result<journal_segment> journal_segment::from_text(const std::string& text) {
    const result<Json::Value> document = parse_json(text);
    if (!document) {
        return document.error();
    }
    journal_segment segment;
    segment.incarnation = string_member(document.value(), "incarnation");
    segment.number = int_member(document.value(), "number");
    segment.writer = string_member(document.value(), "writer");
    segment.seal = bool_member(document.value(), "seal");
    for (const Json::Value& record : member(document.value(), "records")) {
        segment.records.push_back(billing_record::from_json(record));
    }
    segment.lost_agents = string_elements(member(document.value(), "lost_agents"));
    return segment;
}

std::string journal_key_prefix(const std::string& incarnation) {
    return journal_prefix + incarnation + "/";
}

std::string segment_key(const std::string& incarnation, std::int64_t number) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%010lld", static_cast<long long>(number));
    return journal_key_prefix(incarnation) + buf;
}

std::string recovery_segment_key(const std::string& incarnation) {
    return journal_key_prefix(incarnation) + "recovery";
}

bool is_segment_key(const std::string& key) {
    constexpr std::size_t min_digits = 10; // See `segment_key`.
    const std::string name = key.substr(key.rfind('/') + 1);
    return name == "recovery" || is_decimal(name, min_digits);
}

namespace {

template <class Predicate>
bool any_record(const journal_contents& journal, Predicate predicate) {
    for (const journal_segment& segment : journal.segments) {
        for (const billing_record& record : segment.records) {
            if (predicate(record)) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

bool journal_contents::has_record(const std::string& request_id, int attempt) const {
    return any_record(*this, [&](const billing_record& record) {
        return record.request_id == request_id && record.attempt == attempt;
    });
}

bool journal_contents::has_bill(const std::string& request_id) const {
    return any_record(*this, [&](const billing_record& record) {
        return record.request_id == request_id && record.billed > 0;
    });
}

std::int64_t journal_contents::next_number() const {
    return segments.empty() ? 0 : segments.back().number + 1;
}

std::vector<budget_spend> sum_spends(const std::vector<billing_record>& records, unsigned shard,
                                     unsigned shard_count) {
    std::map<std::string, budget_spend> sums;
    for (const billing_record& record : records) {
        if (shard_for_budget(record.budget, shard_count) != shard) {
            continue;
        }
        budget_spend& sum = sums[record.budget];
        sum.budget = record.budget;
        sum.billed += record.billed;
        sum.withheld += record.withheld;
    }
    std::vector<budget_spend> spends;
    spends.reserve(sums.size());
    for (const auto& [name, sum] : sums) {
        spends.push_back(sum);
    }
    return spends;
}

} // namespace eelgrassgw

#pragma once

/// The billing journal: what each finished request is billed, in immutable segments.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/ledger/ledger_shard.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// The bill of one request.
struct billing_record {
    std::string request_id;
    std::string customer;
    std::string budget;
    std::string agent;   ///< Incarnation of the agent that ran it.
    std::string outcome; ///< "done", "failed", "cancelled" or "unknown".
    int attempt = 1;
    tokens billed = 0;
    tokens withheld = 0; ///< May have been used, and nobody can tell any more.
    std::string reason;  ///< Why tokens are withheld; empty otherwise.

    Json::Value to_json() const;
    static billing_record from_json(const Json::Value& from);
};

/// One object of a journal. A seal ends the journal: no later segment counts.
struct journal_segment {
    std::string incarnation;
    std::int64_t number = 0;
    std::string writer; ///< Random token, by which a writer knows its own segment after a lost answer.
    bool seal = false;
    std::vector<billing_record> records;
    std::vector<std::string> lost_agents; ///< Replaced agents on which this incarnation settled all it had.

    std::string to_text() const;
    static result<journal_segment> from_text(const std::string& text);
};

extern const char* const journal_prefix;

/// Prefix of one incarnation's segments.
std::string journal_of(const std::string& incarnation);

/// Key of one segment.
std::string segment_key(const std::string& incarnation, std::int64_t number);

/// Key of the segment that recovery adds behind the seal.
std::string recovery_segment_key(const std::string& incarnation);

/// A whole journal as read back.
struct journal_contents {
    std::vector<journal_segment> segments; ///< By number, without the seal.
    std::optional<std::int64_t> sealed_at;
    std::optional<journal_segment> recovery;

    /// The number under which the recovery segment is folded: that of the seal.
    std::int64_t recovery_number() const { return sealed_at.value_or(0); }
    bool has_record(const std::string& request_id, int attempt) const;
    bool has_bill(const std::string& request_id) const;
    std::int64_t next_number() const;
};

/// Sums of `records` for each budget of shard `shard`.
std::vector<budget_spend> spends_of(const std::vector<billing_record>& records, unsigned shard,
                                    unsigned shard_count);

} // namespace eelgrassgw

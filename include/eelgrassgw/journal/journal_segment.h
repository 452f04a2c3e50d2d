#pragma once

/// The billing journal of a router incarnation: immutable segments that record what each finished request is
/// billed.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/ledger/ledger_shard.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// The bill for one attempt of a request.
struct billing_record {
    std::string request_id;
    std::string customer;
    std::string budget;
    std::string agent;   ///< Incarnation of the agent that ran the request.
    std::string outcome; ///< One of "done", "failed", "cancelled" or "unknown".
    int attempt = 1;
    tokens billed = 0;
    tokens withheld = 0; ///< Tokens that may have been used, without a record that proves it.
    std::string reason;  ///< Reason why tokens are withheld, or empty if none are.

    Json::Value to_json() const;
    static billing_record from_json(const Json::Value& from);
};

/// One stored object of a journal. A segment with `seal` set ends the journal, and later segments are
/// ignored.
struct journal_segment {
    std::string incarnation;
    std::int64_t number = 0;
    std::string writer; ///< Random token that lets a writer recognise its own segment after a lost answer.
    bool seal = false;
    std::vector<billing_record> records;
    /// Replaced agents on which this incarnation has settled all its requests.
    std::vector<std::string> lost_agents;

    std::string to_text() const;
    static result<journal_segment> from_text(const std::string& text);
};

/// Prefix of the keys of all journals.
extern const char* const journal_prefix;

/// Returns the prefix of the keys of one incarnation's segments.
std::string journal_key_prefix(const std::string& incarnation);

/// Returns the key of one segment.
std::string segment_key(const std::string& incarnation, std::int64_t number);

/// Returns the key of the segment that recovery adds after the seal.
std::string recovery_segment_key(const std::string& incarnation);

/// Returns whether `key` is one of those that the two functions above return.
bool is_segment_key(const std::string& key);

/// The contents of a whole journal, as read from the object API.
struct journal_contents {
    std::vector<journal_segment> segments;   ///< Segments before the seal, in order of their numbers.
    std::optional<std::int64_t> seal_number; ///< Number of the seal, if the journal is sealed.
    std::optional<journal_segment> recovery; ///< Segment that recovery added, if any.

    /// Returns the number under which the recovery segment is folded, which is the number of the seal.
    std::int64_t recovery_number() const { return seal_number.value_or(0); }

    /// Returns whether a segment before the seal records this attempt of the request.
    bool has_record(const std::string& request_id, int attempt) const;

    /// Returns whether a segment before the seal bills any attempt of the request.
    bool has_bill(const std::string& request_id) const;

    /// Returns the number of the next segment to append.
    std::int64_t next_number() const;
};

/// Sums up `records` for each budget that belongs to shard number `shard`.
std::vector<budget_spend> sum_spends(const std::vector<billing_record>& records, unsigned shard,
                                     unsigned shard_count);

} // namespace eelgrassgw

#pragma once

/// The one shared record of how much of each customer's prepaid tokens the routers have taken.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrassgw {

/// Kept in the platform's store and changed by conditional writes only, so `taken` never exceeds what was
/// prepaid when it was raised. Tokens that a router took and did not use before it died stay in `taken`.
struct budget_ledger {
    /// The last write of a router. It tells a router whether a write without an answer took effect.
    struct writer {
        std::uint64_t sequence = 0;
        std::int64_t written_at_ms = 0; ///< Unix time by the writer's clock. Only counts and clean-up use it.
        std::string address;            ///< Where the router takes datagrams of others; may be empty.
    };

    std::map<std::string, tokens> taken;   ///< By customer.
    std::map<std::string, writer> writers; ///< By router incarnation.

    tokens taken_by_all(const std::string& customer) const;

    /// Whether the write `sequence` of `router` is in this version.
    bool has_write(const std::string& router, std::uint64_t sequence) const;

    /// Records a write, and forgets routers that have not written for `writer_retention`.
    void note_write(const std::string& router, const writer& last);

    /// Routers that wrote in the `recent` time before the newest write, by incarnation.
    std::map<std::string, writer> recent_writers(std::chrono::milliseconds recent) const;

    static constexpr std::chrono::minutes writer_retention{10};
};

Json::Value to_json(const budget_ledger& ledger);

/// Fails where the document is not a ledger. A missing ledger and an unreadable one are different things.
result<budget_ledger> parse_budget_ledger(const Json::Value& document);

} // namespace eelgrassgw

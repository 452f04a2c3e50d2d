#pragma once

/// The one shared record of how much of each customer's prepaid tokens the routers have taken.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrassgw {

/// What a router wants changed for one customer.
struct wanted_tokens {
    tokens amount = 0;     ///< To take (positive) or to give back (negative).
    tokens most_taken = 0; ///< What is prepaid: taking never raises what all routers took beyond it.
};

/// Kept in the platform's store and changed by conditional writes only, so `taken` never exceeds what was
/// prepaid when it was raised. Tokens that a router took and did not use before it died stay in `taken`.
struct budget_ledger {
    /// The last write of a router. It tells a router what became of a write without an answer.
    struct writer {
        std::uint64_t sequence = 0;
        std::int64_t written_at_ms = 0; ///< Unix time by the writer's clock. Only counts and clean-up use it.
        std::string address;            ///< Where the router takes datagrams of others; may be empty.
        std::map<std::string, tokens> reduced; ///< Granted by that write, where it was less than wanted.

        /// What that write granted of `wanted`.
        tokens granted(const std::string& customer, tokens wanted) const;
    };

    std::map<std::string, tokens> taken;   ///< By customer.
    std::map<std::string, writer> writers; ///< By router incarnation.

    tokens taken_by_all(const std::string& customer) const;

    /// The last write of `router`; one with sequence 0 where there is none.
    writer last_write(const std::string& router) const;

    /// Changes what `router` has taken, as far as the limits allow, and records `last` as its last write.
    void change(const std::string& router, writer last, const std::map<std::string, wanted_tokens>& changes);

    /// Routers that wrote in the `recent` time before the newest write, by incarnation.
    std::map<std::string, writer> recent_writers(std::chrono::milliseconds recent) const;

    /// Routers that have not written for so long are forgotten.
    static constexpr std::chrono::minutes writer_retention{10};
};

Json::Value to_json(const budget_ledger& ledger);

/// Fails where the document is not a ledger. A missing ledger and an unreadable one are different things.
result<budget_ledger> parse_budget_ledger(const Json::Value& document);

} // namespace eelgrassgw

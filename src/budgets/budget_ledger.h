#pragma once

/// Defines the shared record of how many of each customer's prepaid tokens the routers have taken.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrassgw {

/// A change to one customer's taken tokens that a router requests.
struct wanted_tokens {
    tokens amount = 0;    ///< Tokens to take if positive, to return if negative.
    tokens max_taken = 0; ///< The prepaid tokens; the total taken by all routers is never raised above this.
};

/// The budget ledger is kept in the platform's store and changed only by conditional writes, so a write never
/// raises `taken` above the prepaid tokens. Tokens that a crashed router took but did not use stay in
/// `taken`.
struct budget_ledger {
    /// The last write of a router. It lets the router find out whether a write that got no reply was applied.
    struct writer {
        std::uint64_t sequence = 0; ///< Number of the write, counted by the router from 1.

        /// Unix time by the writer's clock, used only to count routers and remove old ones.
        std::int64_t written_at_ms = 0;

        std::string address; ///< Address at which the router receives other routers' datagrams; may be empty.

        /// Granted tokens by customer, where the write granted less than requested.
        std::map<std::string, tokens> reduced;

        /// Whether the router returned its allowances with that write and will not write again.
        bool closed = false;

        /// Returns how many of the `wanted` tokens that write granted.
        tokens granted(const std::string& customer, tokens wanted) const;
    };

    std::map<std::string, tokens> taken;   ///< Tokens taken by all routers, by customer.
    std::map<std::string, writer> writers; ///< Last writes by router incarnation.

    /// Era of the store in which the ledger was last written; 0 if that is not known.
    std::uint64_t era = 0;

    /// Whether routers may still hold grants that a restored store has forgotten. No tokens are granted then.
    bool is_recovering = false;

    /// Routers that may hold forgotten grants and have not written since the restore.
    std::set<std::string> awaited;

    /// Routers that were awaited for too long. Until all of them have written, `withheld` stays taken.
    std::set<std::string> missing;

    /// Tokens taken on behalf of the missing routers, by customer.
    std::map<std::string, tokens> withheld;

    /// Returns the number of the customer's tokens that all routers together have taken.
    tokens taken_by_all(const std::string& customer) const;

    /// Returns the last write of `router`, or a write with sequence 0 if the router has not written.
    writer last_write(const std::string& router) const;

    /// Applies `changes` of `router` to the taken tokens as far as the limits allow, and records `last` as
    /// the router's last write. During a recovery, nothing is granted.
    void change(const std::string& router, writer last, const std::map<std::string, wanted_tokens>& changes);

    /// Applies again what the store has forgotten of `router`'s writes, whatever the limits are, and records
    /// `last` as its last write.
    void restore(const std::string& router, writer last, const std::map<std::string, wanted_tokens>& changes);

    /// Returns whether the ledger was read in a later era than it was written in, so that it comes from a
    /// copy and lacks the newest writes.
    bool is_from_copy(std::uint64_t read_era) const { return era != 0 && era < read_era; }

    /// Begins to wait for the routers that may hold forgotten grants: those that wrote shortly before the
    /// newest write of the copy and were not closed.
    void begin_recovery(std::uint64_t new_era);

    /// Adds routers that another router has seen in a newer ledger than the copy. Precondition: the other
    /// router has not written since the restore.
    void await_routers(const std::set<std::string>& routers);

    /// Ends the recovery. What the routers that are still awaited may hold is withheld until they write: for
    /// each customer, all tokens that were left.
    void end_recovery();

    /// Returns the routers whose last write is at most `max_age` older than the newest write, by incarnation.
    std::map<std::string, writer> recent_writers(std::chrono::milliseconds max_age) const;

    /// Time without a write after which a router is removed from the ledger.
    static constexpr std::chrono::minutes writer_retention{10};

    /// A router that did not write for this long before the newest write counts as ended.
    static constexpr std::chrono::seconds active_router_window{10};

private:
    void note_write(const std::string& router, writer last);
    void withhold_rest(const std::string& customer, tokens max_taken);
};

/// Returns the document that stores the ledger.
Json::Value to_json(const budget_ledger& ledger);

/// Parses a stored ledger. Fails if the document is not a ledger, so that an unreadable ledger is never
/// mistaken for a missing one.
result<budget_ledger> parse_budget_ledger(const Json::Value& document);

} // namespace eelgrassgw

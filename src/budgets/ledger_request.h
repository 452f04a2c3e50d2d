#pragma once

/// Defines the requests that routers send to the shared budget ledger, and their outcomes.

#include "budgets/ledger_store.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrassgw {

/// A request of one router to change the ledger or only to read it. The request is idempotent: it may be sent
/// any number of times to any number of writers and is applied at most once, because it applies only while
/// the router's last write is `previous`.
struct ledger_request {
    std::string router; ///< Incarnation of the router.

    /// Address at which the router receives other routers' datagrams; may be empty.
    std::string notice_address;

    std::uint64_t sequence = 0; ///< Sequence number of this write; 0 for a request that only reads.

    /// Sequence number of the router's last write that is known to be in the ledger.
    std::uint64_t previous = 0;

    bool is_urgent = false;                       ///< Whether a caller waits for the outcome.
    std::map<std::string, wanted_tokens> changes; ///< Requested changes by customer.

    /// Whether `changes` were applied before and forgotten when the store was restored from a copy.
    bool is_restoration = false;

    /// Whether the router returns its allowances and will not write again.
    bool is_last = false;

    /// Other active routers that this router has seen in the ledger of an earlier era.
    std::set<std::string> routers_seen;

    /// Returns whether the request changes the ledger rather than only reading it.
    bool writes() const { return sequence != 0; }
};

/// The outcome of a request.
struct ledger_outcome {
    enum class status_kind {
        applied, ///< `current` contains the write or, for a request that only reads, the current ledger.
        refused, ///< The write was not applied: `current` has a different last write of the router.
        unknown, ///< The write may have been applied, or may still be applied later.
    };
    status_kind status = status_kind::unknown;
    versioned_ledger current;
    std::string error; ///< Error message if the outcome is `unknown`.

    /// Whether, after `unknown`, the writer continues and the request may be repeated.
    bool still_trying = false;
};

/// A service that applies requests to the ledger: a writer in this process or a client of one elsewhere.
template <class T>
concept ledger_service = requires(T& service, const ledger_request& request) {
    { service.submit(request) } -> std::same_as<task<ledger_outcome>>;
};

/// Returns the JSON form of a request.
Json::Value to_json(const ledger_request& request);

/// Parses a request from its JSON form.
result<ledger_request> parse_ledger_request(const Json::Value& document);

/// Returns the JSON form of an outcome.
Json::Value to_json(const ledger_outcome& outcome);

/// Parses an outcome from its JSON form.
result<ledger_outcome> parse_ledger_outcome(const Json::Value& document);

} // namespace eelgrassgw

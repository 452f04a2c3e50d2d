#pragma once

/// What a router asks the shared budget ledger for, and how that ends.

#include "budgets/ledger_store.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrassgw {

/// One router's change of the ledger, or a mere look at it. A request may be sent any number of times, to any
/// number of writers: it is applied at most once, because it applies only while the router's last write is
/// `previous`.
struct ledger_request {
    std::string router;         ///< The router's incarnation.
    std::string notice_address; ///< Where it takes datagrams of other routers; may be empty.
    std::uint64_t sequence = 0; ///< Of this write; 0: nothing is written.
    std::uint64_t previous = 0; ///< Of the router's last write that is known to be in the ledger.
    bool is_urgent = false;     ///< A caller waits for it.
    std::map<std::string, wanted_tokens> changes; ///< By customer.

    bool writes() const { return sequence != 0; }
};

/// How a request ended.
struct ledger_outcome {
    enum class kind {
        applied, ///< `now` contains the write; for a mere look: `now` is the ledger as it is.
        refused, ///< Certainly not applied: `now` shows another write of the router as its last.
        unknown, ///< May have been applied, or may be later.
    };
    kind how = kind::unknown;
    versioned_ledger now;
    std::string why;           ///< For `unknown`: the error.
    bool still_trying = false; ///< For `unknown`: the writer goes on, so the same request may be sent again.
};

/// Whoever takes requests to the ledger.
template <class T>
concept ledger_service = requires(T& service, const ledger_request& request) {
    { service.submit(request) } -> std::same_as<task<ledger_outcome>>;
};

Json::Value to_json(const ledger_request& request);
result<ledger_request> parse_ledger_request(const Json::Value& document);

Json::Value to_json(const ledger_outcome& outcome);
result<ledger_outcome> parse_ledger_outcome(const Json::Value& document);

} // namespace eelgrassgw

#pragma once

/// What a router tells of budgets: to requests, to other routers, and to its log.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace eelgrassgw {

/// The answer to a request for tokens.
enum class reservation_verdict {
    reserved,
    exhausted, ///< The budget does not cover the request.
    unknown,   ///< The allowance is too small, and the ledger could not be asked in time.
};

/// How a router appears to the others in the ledger.
struct ledger_identity {
    std::string router;         ///< Its incarnation.
    std::string notice_address; ///< Where it takes datagrams of other routers; may be empty.
};

/// What a decision about a budget was based on, for logs.
struct budget_view {
    std::uint64_t ledger_revision = 0;
    std::chrono::milliseconds ledger_age{0};
    tokens unspent = 0; ///< Prepaid and not taken by any router, when the ledger was read.
    tokens available = 0;
};

} // namespace eelgrassgw

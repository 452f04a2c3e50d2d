#pragma once

/// Defines the types in which a router reports on budgets to requests, to other routers and to its log.

#include "eelgrassgw/base/json.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace eelgrassgw {

/// The result of an attempt to reserve tokens.
enum class reservation_verdict {
    reserved,  ///< The tokens are reserved.
    exhausted, ///< The remaining budget is smaller than the requested amount.
    unknown,   ///< The allowance is too small, and the ledger did not answer in time.
};

/// The identity under which a router writes to the ledger.
struct ledger_identity {
    std::string router;         ///< Incarnation of the router.
    std::string notice_address; ///< Address at which it receives other routers' datagrams; may be empty.
};

/// The state that a decision about a budget was based on, for the log.
struct budget_view {
    std::uint64_t ledger_revision = 0;
    std::chrono::milliseconds ledger_age{0}; ///< Time since the router last received the ledger.
    tokens unspent = 0;   ///< Prepaid tokens that no router had taken when the ledger was read.
    tokens available = 0; ///< Tokens of this router's allowance that can be reserved.
};

/// What became of the tokens that this router has taken from the ledger, for all customers together. If the
/// process ends without a graceful stop, `lost()` tokens stay taken although nobody has used them.
struct held_tokens {
    tokens taken = 0;     ///< Tokens taken from the ledger and not returned.
    tokens available = 0; ///< Part of them that is held in advance, for requests to come.
    tokens reserved = 0;  ///< Part of them that running requests have reserved.
    tokens consumed = 0;  ///< Part of `reserved` that callers have been sent an answer for.
    tokens charged = 0;   ///< Part of them that ended requests have used.

    /// Returns the tokens that a crash at this moment would lose.
    tokens lost() const { return available + reserved - consumed; }

    bool operator==(const held_tokens&) const = default;
};

} // namespace eelgrassgw

#pragma once

/// What routers and relays say to one another.

namespace eelgrassgw {

/// Header of a relayed call that says how long its router waits, in milliseconds.
inline constexpr const char* relay_limit_header = "X-Eelgrass-Limit-Ms";

/// Path on which a relay takes requests to the budget ledger: POST of a `ledger_request`.
inline constexpr const char* ledger_path = "/ledger";

/// Path on which routers learn of relays: POST adds the sender's, GET returns a JSON list of addresses.
inline constexpr const char* relays_path = "/relays";

} // namespace eelgrassgw

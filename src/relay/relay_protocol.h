#pragma once

/// Defines the HTTP header and the paths with which routers and relays call each other.

namespace eelgrassgw {

/// Header of a relayed call with the time that its router waits for the reply, in milliseconds.
inline constexpr const char* relay_timeout_header = "X-Eelgrass-Limit-Ms";

/// Path at which a relay accepts requests to the budget ledger. A POST carries a `ledger_request` as JSON.
inline constexpr const char* ledger_path = "/ledger";

/// Path at which a router keeps its list of relays. A POST adds the relay address in its body, and a GET
/// returns all addresses as a JSON list.
inline constexpr const char* relays_path = "/relays";

/// Path at which a router tells the evacuated data centres that it knows, as a JSON list. The status is 503
/// while it knows nothing of evacuations.
inline constexpr const char* evacuations_path = "/evacuations";

} // namespace eelgrassgw

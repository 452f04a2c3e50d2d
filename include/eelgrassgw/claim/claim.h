#pragma once

/// A claim reserves one non-idempotent call for one router. It is created in the object API before the call
/// is sent, so that no other router sends the same call.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/platform/object_store.h"

#include <string>

namespace eelgrassgw {

enum class claim_state {
    claimed, ///< A ticket may have been sent, and only its agent knows whether the call ran.
    done,    ///< The call ran, and the claim holds its answer.
    not_run, ///< The call did not run, so another attempt may take the claim.
};

/// The stored state of one call: who sends it, to which agent, and its outcome.
struct claim {
    std::string service;
    std::string request_id;
    std::string customer;
    std::string digest;
    std::string router; ///< Incarnation of the router that sends the ticket.
    std::string backend_server;
    std::string agent; ///< Incarnation of the agent that the ticket names.
    std::string nonce; ///< Nonce of the ticket, different for each attempt.
    int attempt = 1;
    claim_state state = claim_state::claimed;
    int status = 0; ///< HTTP status of the service's answer.
    std::string answer;

    std::string to_text() const;
    static result<claim> from_text(const std::string& text);
};

/// Returns the claim's key in the object API.
std::string claim_key(const std::string& service, const std::string& request_id);

/// A claim, with the version of the stored object that it was read from or written as.
struct stored_claim {
    claim value;
    object_version version = absent_version;
};

/// Reads and writes claims in the object API. It is thread-safe because it has no state besides the store.
template <object_store Store>
class claim_store {
public:
    explicit claim_store(Store& store) : store_(store) {}

    /// Returns the claim of a call, or nothing if the call has no claim.
    result<std::optional<stored_claim>> read(const std::string& service, const std::string& request_id) {
        const result<std::optional<stored_object>> object = store_.get(claim_key(service, request_id));
        if (!object) {
            return object.error();
        }
        if (!object.value()) {
            return std::optional<stored_claim>();
        }
        const result<claim> parsed = claim::from_text(object.value()->value);
        if (!parsed) {
            return parsed.error();
        }
        return std::optional<stored_claim>({parsed.value(), object.value()->version});
    }

    /// Replaces version `expected` of the claim with `value`. If the answer to the write is lost, it reads
    /// the claim back and compares the text, in which the nonce and the state identify its own write.
    ///
    /// Fails with `version_conflict` if the claim has another version. After `unreachable` or
    /// `outcome_unknown`, the write may have taken effect or may still do so.
    result<stored_claim> write(const claim& value, object_version expected) {
        const std::string key = claim_key(value.service, value.request_id);
        const result<object_version> written = store_.put(key, value.to_text(), expected);
        if (written) {
            return stored_claim{value, written.value()};
        }
        if (written.failed_with(errc::unreachable)) {
            return written.error();
        }
        const result<std::optional<stored_object>> object = store_.get(key);
        if (!object) {
            return written.error();
        }
        if (object.value() && object.value()->value == value.to_text()) {
            return stored_claim{value, object.value()->version};
        }
        return written.error();
    }

private:
    Store& store_;
};

} // namespace eelgrassgw

#pragma once

/// The claim of one non-idempotent call: created in the object API before the call is sent.

#include "eelgrassgw/base/json.h"
#include "eelgrassgw/platform/object_store.h"

#include <string>

namespace eelgrassgw {

enum class claim_state {
    claimed, ///< A ticket may be on its way; only its agent can say more.
    done,    ///< The call ran, and its answer is here.
    not_run, ///< The call did not run; the claim may be taken again.
};

struct claim {
    std::string service;
    std::string request_id;
    std::string customer;
    std::string digest;
    std::string router; ///< Incarnation that sends the ticket.
    std::string backend_server;
    std::string agent; ///< Incarnation that the ticket names.
    std::string nonce; ///< Of the ticket.
    int attempt = 1;
    claim_state state = claim_state::claimed;
    int status = 0; ///< Of the service's answer.
    std::string answer;

    std::string to_text() const;
    static result<claim> from_text(const std::string& text);
};

std::string claim_key(const std::string& service, const std::string& request_id);

/// A claim with the version it was read at.
struct stored_claim {
    claim value;
    object_version version = absent_version;
};

/// Thread-safe, since it keeps no state beside the store.
template <object_store Store>
class claim_store {
public:
    explicit claim_store(Store& store) : store_(store) {}

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

    /// Writes `value` over version `expected`. After a lost answer it reads back and knows its own write by
    /// nonce and state. Errors: `version_conflict`; `unreachable` and `outcome_unknown`, after which the
    /// claim may show now or later.
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

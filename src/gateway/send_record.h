#pragma once

/// Decides whether the caller of a request may be told that it was not run. Needs no network.

#include "gateway/refusal.h"

namespace eelgrassgw {

/// Records the sends of one request to backend servers, and what is proved about them. Each send counts as
/// one that may run at any time from its begin on, until a reply to just this send proves the contrary: the
/// end of its connection does not, since a server may read the request later. Not thread-safe.
class send_record {
public:
    /// Records that the request is about to be sent to a server.
    void begin_send() {
        ++send_count_;
        ++unproved_sends_;
    }

    /// Records that a reply proved that the send which began last was not run and never will be.
    /// Precondition: the proof is of that send.
    void prove_not_run() { --unproved_sends_; }

    /// Records that an earlier attempt of the caller with the same id may be sent or have been sent.
    void note_earlier_attempt() { has_earlier_attempt_ = true; }

    /// Returns the number of sends.
    int send_count() const { return send_count_; }

    /// Returns whether an earlier attempt of the caller with the same id may be sent or have been sent.
    bool has_earlier_attempt() const { return has_earlier_attempt_; }

    /// Returns whether the request may have run or may still run.
    bool may_have_run() const { return unproved_sends_ > 0 || has_earlier_attempt_; }

    /// Returns the reason that the caller is given in place of `wanted`, whose status may promise that the
    /// request was not run: `wanted` itself if the promise holds or is not made.
    refusal_reason choose_reason(refusal_reason wanted) const;

private:
    int send_count_ = 0;
    int unproved_sends_ = 0; ///< Number of sends that may run or have run.
    bool has_earlier_attempt_ = false;
};

} // namespace eelgrassgw

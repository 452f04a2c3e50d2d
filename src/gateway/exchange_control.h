#pragma once

/// Cancels an exchange when its caller leaves or its deadline passes.

#include "gateway/caller_connection.h"
#include "intake/intake_guard.h"
#include "net/task.h"

#include <functional>
#include <utility>

namespace eelgrassgw {

/// Cancellation state that the task serving a request shares with the tasks that watch its caller and its
/// deadline. Not thread-safe.
class exchange_control {
public:
    /// `place` counts what the exchange holds. Precondition: `caller` and `place` outlive the exchange.
    exchange_control(caller_connection& caller, intake_place& place) : caller_(caller), place_(place) {}

    /// Returns the caller's share in the limits of the process.
    intake_place& place() { return place_; }

    /// Makes a cancellation of the exchange reset `upstream`, which makes the backend server stop.
    void attach_upstream(tcp::socket& upstream) {
        upstream_ = &upstream;
        if (cancelled()) {
            reset_upstream();
        }
    }

    /// Releases the connection, so that a cancellation no longer resets it.
    void detach_upstream() { upstream_ = nullptr; }

    /// Makes a cancellation of the exchange call `handler`, too; at once if it is cancelled already. A null
    /// handler ends that.
    void set_cancel_handler(std::function<void()> handler) {
        cancel_handler_ = std::move(handler);
        if (cancelled()) {
            call_cancel_handler();
        }
    }

    /// Cancels the exchange if the caller has closed its connection and this process has not noticed yet, as
    /// when it is behind with its work.
    void check_caller() {
        caller_.read_arrived();
        if (caller_.has_ended()) {
            note_caller_left();
        }
    }

    /// Cancels the exchange because the caller closed its connection.
    void note_caller_left() {
        caller_left_ = true;
        reset_upstream();
        call_cancel_handler();
    }

    /// Cancels the exchange because its deadline has passed. Does nothing after `finish`.
    void note_timeout() {
        if (finished_) {
            return;
        }
        timed_out_ = true;
        reset_upstream();
        call_cancel_handler();
        caller_.stop_write(); // A caller that does not read must not block the exchange.
    }

    /// Records that the final answer was sent, so that a timer that fires later has no effect.
    void finish() { finished_ = true; }

    /// Returns whether the caller closed its connection.
    bool caller_left() const { return caller_left_; }
    /// Returns whether the deadline has passed.
    bool timed_out() const { return timed_out_; }
    /// Returns whether the exchange was cancelled, for either reason.
    bool cancelled() const { return caller_left_ || timed_out_; }

private:
    void call_cancel_handler() {
        if (cancel_handler_) {
            cancel_handler_();
        }
    }

    /// Resets the connection. An orderly close would first deliver the bytes of the request that the kernel
    /// still holds, so that a paused server would receive an abandoned request once it continues.
    void reset_upstream() {
        if (upstream_ != nullptr) {
            net_error ignored;
            upstream_->set_option(asio::socket_base::linger(true, 0), ignored);
            upstream_->close(ignored);
        }
    }

    caller_connection& caller_;
    intake_place& place_;
    tcp::socket* upstream_ = nullptr;
    std::function<void()> cancel_handler_; ///< Called on cancellation; may be empty.
    bool caller_left_ = false;
    bool timed_out_ = false;
    bool finished_ = false;
};

} // namespace eelgrassgw

#pragma once

/// Ends an exchange early: its caller left, or its time is over.

#include "net/task.h"

namespace eelgrassgw {

/// Shared by the task that serves a request and those that watch its caller and its time. Not thread-safe.
class exchange_control {
public:
    /// Precondition: `caller` outlives the exchange.
    explicit exchange_control(tcp::socket& caller) : caller_(caller) {}

    /// While attached, ending the exchange closes `upstream`, which makes the backend server stop.
    void attach(tcp::socket& upstream) {
        upstream_ = &upstream;
        if (ended()) {
            close_upstream();
        }
    }
    void detach() { upstream_ = nullptr; }

    void note_caller_left() {
        caller_left_ = true;
        close_upstream();
    }
    void note_time_over() {
        if (finished_) {
            return;
        }
        time_over_ = true;
        close_upstream();
        net_error ignored;
        caller_.cancel(ignored); // A caller that does not read must not hold the exchange.
    }

    /// The final answer was given; a late timer changes nothing any more.
    void finish() { finished_ = true; }

    bool caller_left() const { return caller_left_; }
    bool time_over() const { return time_over_; }
    bool ended() const { return caller_left_ || time_over_; }

private:
    void close_upstream() {
        if (upstream_ != nullptr) {
            net_error ignored;
            upstream_->close(ignored);
        }
    }

    tcp::socket& caller_;
    tcp::socket* upstream_ = nullptr;
    bool caller_left_ = false;
    bool time_over_ = false;
    bool finished_ = false;
};

} // namespace eelgrassgw

#pragma once

/// The execution of one ticket, with its output and its outcome.

#include "eelgrassgw/run/run_outcome.h"
#include "eelgrassgw/run/ticket.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace eelgrassgw {

using steady_time = std::chrono::steady_clock::time_point;

/// The output and the outcome that one call of `run::wait_for_output` returns.
struct run_progress {
    std::string text;    ///< Output that begins at the reader's offset.
    run_outcome outcome; ///< Current outcome; it is final only if `at_end` is true.
    bool at_end = false; ///< True if the reader has the whole output and the outcome is final.
};

/// Holds the state of one run. The thread of the run writes it, and any number of connections read it.
/// Thread-safe.
class run {
public:
    explicit run(ticket t)
        : ticket_(std::move(t)), deadline_(std::chrono::steady_clock::now() + ticket_.deadline) {}

    const ticket& assigned_ticket() const { return ticket_; }
    steady_time deadline() const { return deadline_; }

    void mark_running();
    void append_output(const std::string& text, tokens generated_tokens);
    void set_prompt_tokens(tokens prompt_tokens);
    void finish(run_outcome outcome);

    /// Waits up to `max_wait` until there is output beyond `offset` or the run ends.
    run_progress wait_for_output(std::size_t offset, std::chrono::milliseconds max_wait);

    run_outcome outcome() const;
    std::size_t output_size() const;

    void add_reader();
    void remove_reader();

    /// Returns true if the run is active and has had no reader for longer than `idle_limit`.
    bool is_abandoned(std::chrono::milliseconds idle_limit) const;

    void request_cancel();
    bool cancel_requested() const;

    /// Discards the output to free memory. Precondition: the outcome is final.
    void drop_output();
    bool output_dropped() const;

    /// Records that the billing record is in a journal, so that the agent may discard this run.
    void mark_journalled();
    bool is_journalled() const;
    steady_time ended_at() const;

private:
    const ticket ticket_;
    const steady_time deadline_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string output_;
    run_outcome outcome_;
    int readers_ = 0;
    steady_time last_read_ = std::chrono::steady_clock::now();
    steady_time ended_at_{};
    bool cancel_requested_ = false;
    bool journalled_ = false;
    bool output_dropped_ = false;
};

} // namespace eelgrassgw

#pragma once

/// One run of one ticket: its output, and its record until the journal has it.

#include "eelgrassgw/run/run_outcome.h"
#include "eelgrassgw/run/ticket.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace eelgrassgw {

using steady_time = std::chrono::steady_clock::time_point;

/// What a reader gets at one step.
struct run_progress {
    std::string text;    ///< Output from the reader's offset on.
    run_outcome outcome; ///< As it stands; final only where `at_end`.
    bool at_end = false; ///< The reader has the whole output, and the outcome is final.
};

/// Written by the run's own thread, read by any number of connections. Thread-safe.
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

    /// Waits up to `longest` for output behind `offset` or for the end.
    run_progress wait_for_output(std::size_t offset, std::chrono::milliseconds max_wait);

    run_outcome outcome() const;
    std::size_t output_size() const;

    void add_reader();
    void remove_reader();

    /// Whether nobody has read since `idle`, while the run goes on.
    bool is_abandoned(std::chrono::milliseconds idle_limit) const;

    void request_cancel();
    bool cancel_requested() const;

    /// Drops the output. Precondition: the outcome is final.
    void drop_output();
    bool output_dropped() const;

    /// Marks the record as part of a journal, so that it need not be kept.
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

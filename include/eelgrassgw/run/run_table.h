#pragma once

/// The table of all runs of one agent incarnation, which runs each request id at most once.

#include "eelgrassgw/journal/journal_segment.h"
#include "eelgrassgw/run/run.h"

#include <map>
#include <memory>
#include <set>

namespace eelgrassgw {

/// The result of `run_table::accept`: a new run or an earlier run of the same request.
struct accepted_ticket {
    std::shared_ptr<run> run_ptr;
    bool is_new = false; ///< True if the ticket started the run.
};

/// The status of a request id in the run table.
struct run_status {
    bool known = false;           ///< True if `run_ptr` is set.
    std::shared_ptr<run> run_ptr; ///< The run of the request; null if this agent has no run of it.
    bool barred = false;          ///< True if the ticket to bar did not run here and never will.
    bool ran_before = false;      ///< True if the request may have run here before this agent started.
};

struct run_table_options {
    std::chrono::milliseconds output_retention{60000};   ///< Time to keep the output, for resumption.
    std::chrono::milliseconds record_retention{3600000}; ///< Time to keep a run, for repeated keys.
    std::size_t max_output_bytes = 64U << 20U;           ///< Maximum size of the output kept for ended runs.
};

/// Holds the runs of an agent and decides which tickets may run. Thread-safe.
class run_table {
public:
    explicit run_table(run_table_options options) : options_(options) {}

    /// Creates a run for the ticket, or finds the existing run of its request id. Fails with `draining`;
    /// `fenced` if the router's incarnation is sealed; `key_reused` if the idempotency key came with another
    /// body; `ran_before` if an earlier agent may have run the request; `refused` if the same ticket was
    /// barred or refused before. Once a ticket is refused for any reason other than `key_reused`, late copies
    /// of it are refused too.
    result<accepted_ticket> accept(const ticket& t);

    /// Records requests that an earlier incarnation of this agent may have run. The table refuses them from
    /// now on.
    void mark_ran_before(const std::vector<std::string>& request_ids);

    /// Returns the ids of requests with a caller's key that ran here or may have run here. The agent stores
    /// them at a planned stop.
    std::vector<std::string> caller_keyed_request_ids() const;

    /// Refuses the ticket with `nonce` from now on.
    void bar_nonce(const std::string& nonce);

    run_status find_status(const std::string& request_id) const;

    /// Refuses the ticket with `nonce` from now on, unless that ticket started the run of `request_id`.
    /// Returns the status of that request. Another ticket for the same request may still run.
    run_status bar_ticket(const std::string& request_id, const std::string& nonce);

    /// Refuses all new tickets of `router` from now on.
    void seal_router(const std::string& router);

    /// Returns the runs of `router` whose billing records are not yet in a journal, including active runs.
    std::vector<std::shared_ptr<run>> unjournalled_runs(const std::string& router) const;

    /// Marks the billing records of the given requests as journalled.
    void mark_journalled(const std::vector<std::string>& request_ids);

    void start_draining();
    bool is_draining() const;

    /// Returns the runs that are queued or running.
    std::vector<std::shared_ptr<run>> active_runs() const;

    /// Returns true if the billing record of every run is in a journal.
    bool all_journalled() const;

    /// Discards the outputs and records of journalled runs whose retention time is over, and outputs beyond
    /// the size limit.
    void expire(steady_time now);

    std::size_t size() const;

private:
    result<accepted_ticket> accept_new_request(const ticket& t);
    run_status find_status_locked(const std::string& request_id) const;

    run_table_options options_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<run>> runs_;
    std::map<std::string, steady_time> ran_before_;
    std::map<std::string, steady_time> barred_nonces_;
    std::set<std::string> sealed_routers_;
    bool draining_ = false;
};

/// Returns the billing record of an ended run. Precondition: the outcome of the run is final.
billing_record make_billing_record(const run& ended, const std::string& agent);

} // namespace eelgrassgw

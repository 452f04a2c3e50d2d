#pragma once

/// All runs of one agent incarnation: the aggregate that keeps "at most once for each request id".

#include "eelgrassgw/journal/journal_segment.h"
#include "eelgrassgw/run/run.h"

#include <map>
#include <memory>
#include <set>

namespace eelgrassgw {

/// A ticket that was taken, or the earlier run of the same request.
struct accepted_ticket {
    std::shared_ptr<run> run_ptr;
    bool is_new = false;
};

/// What a router learns of a request id.
struct run_status {
    bool known = false;
    std::shared_ptr<run> run_ptr; ///< Null where nothing of the id runs or ran here.
    bool barred = false;          ///< The ticket that was asked about did not run here and never will.
    bool ran_before = false;      ///< May have run here before this agent started.
};

struct run_table_options {
    std::chrono::milliseconds output_retention{60000};   ///< For resumption.
    std::chrono::milliseconds record_retention{3600000}; ///< For repeated keys.
    std::size_t max_output_bytes = 64U << 20U;           ///< Of ended runs.
};

/// Thread-safe.
class run_table {
public:
    explicit run_table(run_table_options options) : options_(options) {}

    /// Takes a ticket, or finds the run of its request id. Errors: `draining`; `fenced` (the router's
    /// incarnation is sealed); `key_reused`; `ran_before`; `refused` (this very ticket
    /// was barred, or refused before). A refused ticket is refused for good, however
    /// late a copy of it comes.
    result<accepted_ticket> accept(const ticket& t);

    /// Notes requests that an earlier incarnation of this agent may have run: they are refused from now on.
    void mark_ran_before(const std::vector<std::string>& request_ids);

    /// Ids with a caller's own key that ran here or may have, to be left behind at a planned stop.
    std::vector<std::string> caller_keyed_request_ids() const;

    /// Refuses the ticket with `nonce` from now on.
    void bar_nonce(const std::string& nonce);

    run_status find_status(const std::string& request_id) const;

    /// Promises that the ticket with `nonce` never runs here, unless it is the one that started the run of
    /// `request_id`. Returns what is known of that run. Another ticket for the same request may come.
    run_status bar_ticket(const std::string& request_id, const std::string& nonce);

    /// From now on no ticket of `router` is taken.
    void seal_router(const std::string& router);

    /// Runs of `router` whose records are not yet in a journal, running ones included.
    std::vector<std::shared_ptr<run>> unjournalled_runs(const std::string& router) const;

    /// Marks records as journalled.
    void mark_journalled(const std::vector<std::string>& request_ids);

    void start_draining();
    bool is_draining() const;

    /// Runs that go on.
    std::vector<std::shared_ptr<run>> active_runs() const;

    /// Whether every record is in a journal.
    bool all_journalled() const;

    /// Drops outputs and records that are past their retention and journalled.
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

/// The bill of an ended run. Precondition: its outcome is final.
billing_record make_billing_record(const run& ended, const std::string& agent);

} // namespace eelgrassgw

#pragma once

/// Compares what callers received with what the stand-ins recorded and with the ledger. The checker shares no
/// code with the billing that it checks.

#include "test/system/caller.h"

#include <map>
#include <set>

namespace eelgrassgw::test {

/// Waits until the fleet is idle: every record is journalled and folded into the ledger, and every router
/// that ended is recovered. Returns a description of the work that is still pending, or an empty string if
/// the fleet is idle.
std::string wait_until_idle(const fleet& target, std::chrono::milliseconds timeout);

/// Returns whether a router of the fleet was recovered or stopped gracefully.
bool has_closed_router(const fleet& target);

/// Waits up to `timeout` until the fleet is idle, then adds a test failure for each violation that the
/// checker finds.
void expect_no_violations(const fleet& target, const caller& callers, std::chrono::milliseconds timeout);

/// Holds one billing record from the history of the object API.
struct recorded_bill {
    std::string request_id;
    int attempt = 1;
    tokens billed = 0;
    tokens withheld = 0;
};

/// Reads the state of an idle fleet once and checks its guarantees.
class checker {
public:
    /// `may_lose_records` says that a router and its agents ended together, so that the bill of an answered
    /// request may be lost. The tokens of such a request must be withheld from the budget.
    checker(const fleet& target, const std::vector<observation>& observations, bool may_lose_records = false);

    /// Returns a message for every violated guarantee; the list is empty if all guarantees hold.
    std::vector<std::string> violations();

private:
    struct engine_run {
        std::string request_id;
        int attempt = 1;
        std::string prompt;
        tokens prompt_tokens = 0;
        tokens generated_tokens = 0;
        std::int64_t begun_at_ms = 0;
    };

    /// Counts how often a service carried out one request.
    struct service_effect {
        int count = 0;                ///< Number of times that the request took effect.
        std::int64_t first_at_ms = 0; ///< Unix time at which the request first took effect.
    };

    void read_engines();
    void read_services();
    void read_history();
    void read_audit();
    void read_history_line(const Json::Value& line);

    void check_no_overspend();
    void check_ledger_versions();
    void check_billed_once();
    void check_bills_match_engines();
    void check_answers();
    void check_refusals();
    void check_bookings();
    void check_revisions();
    void check_holders();
    void add(const std::string& violation) { violations_.push_back(violation); }

    tokens tokens_used_by(const observation& answer) const;
    bool ran_before_sending(const observation& answer) const;

    const fleet& fleet_;
    std::vector<observation> observations_;
    bool may_lose_records_;
    std::vector<engine_run> engine_runs_;
    std::map<std::string, service_effect> service_effects_;
    std::vector<recorded_bill> bills_;
    std::vector<Json::Value> ledger_versions_;
    std::vector<std::int64_t> accepted_revisions_;
    std::map<std::string, Json::Value> current_objects_; ///< Newest value of each stored object, by key.
    Json::Value audit_;
    int audit_exit_code_ = -1;
    std::vector<std::string> violations_;
};

} // namespace eelgrassgw::test

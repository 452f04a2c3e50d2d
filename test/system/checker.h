#pragma once

/// Compares what callers saw with what the stand-ins recorded and with the ledger. It uses none of the code
/// that decides about billing.

#include "test/system/caller.h"

#include <map>
#include <set>

namespace eelgrassgw::test {

/// Waits until the fleet is at rest: everything journalled and folded, every vanished router recovered.
/// The result names what it still waits for; empty where it is at rest.
std::string wait_for_rest(const fleet& target, std::chrono::milliseconds longest);

/// Whether a router of the fleet was recovered or stopped as planned.
bool has_closed_router(const fleet& target);

/// Waits up to `longest` until the fleet is at rest, then fails the test for each broken promise.
void expect_promises_hold(const fleet& target, const caller& callers, std::chrono::milliseconds longest);

/// One billing record, as the history of the object API has it.
struct recorded_bill {
    std::string request_id;
    int attempt = 1;
    tokens billed = 0;
    tokens withheld = 0;
};

/// Reads everything once, at rest, and then judges.
class checker {
public:
    /// `records_lost`: a router and its agents ended together, so that a request may be answered whose bill
    /// nobody knows any more; its tokens must then be withheld from the budget.
    checker(const fleet& target, const std::vector<observation>& seen, bool records_lost = false);

    /// Every broken promise, in words; empty where all hold.
    std::vector<std::string> violations();

private:
    struct engine_run {
        std::string request_id;
        int attempt = 1;
        std::string prompt;
        tokens prompt_tokens = 0;
        tokens generated = 0;
        std::int64_t begun_at_ms = 0;
    };

    /// What a service did for one request id.
    struct service_effect {
        int count = 0;
        std::int64_t first_at_ms = 0;
    };

    void read_engines();
    void read_services();
    void read_history();
    void read_audit();
    void read_history_line(const Json::Value& line);

    void check_no_overspend();
    void check_history_of_ledger();
    void check_billed_once();
    void check_bills_match_engines();
    void check_answers();
    void check_refusals();
    void check_bookings();
    void check_revisions();
    void check_holders();
    void add(const std::string& violation) { violations_.push_back(violation); }

    tokens used_by(const observation& o) const;
    bool had_run_before(const observation& o) const;

    const fleet& fleet_;
    std::vector<observation> seen_;
    bool records_lost_;
    std::vector<engine_run> runs_;
    std::map<std::string, service_effect> effects_;
    std::vector<recorded_bill> bills_;
    std::vector<Json::Value> ledger_versions_;
    std::vector<std::int64_t> revisions_;
    std::map<std::string, Json::Value> current_; ///< Newest value of each object.
    Json::Value audit_;
    int audit_exit_ = -1;
    std::vector<std::string> violations_;
};

} // namespace eelgrassgw::test

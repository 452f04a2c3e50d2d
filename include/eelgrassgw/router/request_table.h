#pragma once

/// A table of the newest requests that a router served, for `GET /v1/requests/<id>`.

#include "eelgrassgw/ledger/allowance_book.h"
#include "eelgrassgw/router/caller_error.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace eelgrassgw {

/// State of a request, as reported to callers.
enum class request_state { not_run, running, done, failed, unknown };

const char* to_text(request_state state);

/// The latest state of one request.
struct request_entry {
    std::string customer;
    request_state state = request_state::running;
    std::string agent;   ///< Incarnation of the agent that got the request; empty if unknown.
    int attempt = 0;     ///< Number of the attempt, starting at 1; 0 if unknown.
    tokens billed = 0;   ///< Tokens that were billed to the customer.
    tokens withheld = 0; ///< Tokens that were deducted from the budget without a bill.
    std::string note;    ///< Human-readable cause of the state.

    Json::Value to_json(const std::string& request_id) const;
};

/// Keeps the entries of the newest requests and discards older ones. Thread-safe.
class request_table {
public:
    explicit request_table(std::size_t max_entries) : max_entries_(max_entries) {}

    /// Records the state of a request. If a repetition did not run, restores the entry of the earlier run.
    void record(const std::string& request_id, const request_entry& entry);

    /// Returns the ids of the requests that `asking_agent`, an incarnation of the agent of `backend_server`,
    /// has to remember. These are all requests that ran or may have run at an earlier incarnation of it, and
    /// all requests with the caller's own key, since the agent may be the first in the order of their agents.
    /// A request without a key whose last ticket names `asking_agent` is none of them: that agent knows
    /// better whether it ran, and the ticket may still be on its way. If `asking_agent` is empty, all
    /// incarnations count as earlier ones.
    std::vector<std::string> requests_to_remember(const std::string& backend_server,
                                                  const std::string& asking_agent) const;

    /// Returns the entry of a request, or nothing if the table has none.
    std::optional<request_entry> find(const std::string& request_id) const;

private:
    /// The entry of a request and, during a repetition, the entry that the repetition replaced.
    struct table_entry {
        request_entry current;
        std::optional<request_entry> earlier; ///< Entry of the last run before the current repetition.
    };

    const std::size_t max_entries_;
    mutable std::mutex mutex_;
    std::map<std::string, table_entry> entries_;
    std::deque<std::string> ids_by_age_; ///< Request ids, oldest first.
};

} // namespace eelgrassgw

#pragma once

/// What a router remembers of the requests it served, for `GET /v1/requests/<id>`.

#include "eelgrassgw/ledger/allowance_book.h"
#include "eelgrassgw/router/caller_error.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace eelgrassgw {

enum class request_state { not_run, running, done, failed, unknown };

const char* to_text(request_state state);

struct request_entry {
    std::string customer;
    request_state state = request_state::running;
    std::string agent;
    int attempt = 0;
    tokens billed = 0;
    tokens withheld = 0;
    std::string note; ///< Why, for people.

    Json::Value to_json(const std::string& request_id) const;
};

/// Keeps the newest entries. Thread-safe.
class request_table {
public:
    explicit request_table(std::size_t most) : most_(most) {}

    /// Notes how a request stands. Where a repetition did not run, the entry of the earlier run comes back.
    void note(const std::string& request_id, const request_entry& entry);

    /// Ids of requests that ran or may have run at an incarnation of the agent of `backend_server`, and of
    /// all with the caller's own key, wherever they ran: the agent may be the first in their order.
    std::vector<std::string> requests_to_remember(const std::string& backend_server) const;

    std::optional<request_entry> find(const std::string& request_id) const;

private:
    struct kept_entry {
        request_entry now;
        std::optional<request_entry> earlier; ///< Of a run that ended, while a repetition is under way.
    };

    const std::size_t most_;
    mutable std::mutex mutex_;
    std::map<std::string, kept_entry> entries_;
    std::deque<std::string> by_age_;
};

} // namespace eelgrassgw

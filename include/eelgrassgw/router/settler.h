#pragma once

/// Settles tickets whose handler could not: the caller left, or the agent did not answer in time.

#include "eelgrassgw/base/log.h"
#include "eelgrassgw/journal/journal_segment.h"
#include "eelgrassgw/membership/fleet_view.h"
#include "eelgrassgw/router/agent_call.h"
#include "eelgrassgw/router/agent_selector.h"
#include "eelgrassgw/router/request_table.h"

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace eelgrassgw {

/// Makes the bill of an ended run. `superseded` means that another attempt serves the request.
billing_record make_record(const ticket& t, const run_outcome& outcome, bool superseded);

/// A sent ticket, and the reservation that stays set aside until it is settled.
template <class Session>
struct unsettled_ticket {
    std::shared_ptr<Session> session;
    ticket sent;
    agent_member agent;
    bool superseded = false; ///< The request was given to another agent, which bills it.
};

/// Asks agents on one thread until every ticket is settled. Thread-safe.
template <class Session>
class settler {
public:
    settler(const agent_caller& caller, const fleet_view& view, agent_selector& selector,
            request_table& requests)
        : caller_(caller), view_(view), selector_(selector), requests_(requests), thread_([this] { run(); }) {
    }

    ~settler() {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            changed_.notify_all();
        }
        thread_.join();
    }

    settler(const settler&) = delete;
    settler& operator=(const settler&) = delete;

    /// Takes over the reservation of `entry`, and its place in the selector's count.
    void add(unsettled_ticket<Session> entry) {
        const std::lock_guard lock(mutex_);
        entries_.push_back(std::move(entry));
        changed_.notify_all();
    }

    std::size_t size() const {
        const std::lock_guard lock(mutex_);
        return entries_.size();
    }

private:
    static constexpr std::chrono::milliseconds round_pause{250};

    void run() {
        for (;;) {
            std::list<unsettled_ticket<Session>> round;
            {
                std::unique_lock lock(mutex_);
                changed_.wait_for(lock, round_pause, [&] { return stopping_; });
                if (stopping_) {
                    return;
                }
                round = entries_;
            }
            for (const unsettled_ticket<Session>& entry : round) {
                if (try_to_settle(entry)) {
                    forget(entry.sent.nonce);
                }
            }
        }
    }

    void forget(const std::string& nonce) {
        const std::lock_guard lock(mutex_);
        entries_.remove_if([&](const unsettled_ticket<Session>& entry) { return entry.sent.nonce == nonce; });
    }

    bool try_to_settle(const unsettled_ticket<Session>& entry) {
        if (entry.session->is_fenced()) {
            finish(entry, request_state::unknown,
                   "recovery settles it: this router's incarnation was sealed");
            return true;
        }
        const std::optional<agent_member> registered = view_.find_agent_incarnation(entry.agent.incarnation);
        if (!registered) {
            withhold(entry, "agent \"" + entry.agent.incarnation + "\" was replaced, and its record is lost");
            return true;
        }
        if (registered->state == member_state::closed) {
            // An agent closes only when the journal has all that ran there: this ticket did not.
            entry.session->release(entry.sent.budget, entry.sent.reserved);
            finish(entry, request_state::not_run, "the agent closed without having run it");
            return true;
        }
        const result<Json::Value> status =
            caller_.bar_ticket(entry.agent, entry.sent.request_id, entry.sent.nonce);
        if (!status || string_member(status.value(), "agent") != entry.agent.incarnation) {
            return false;
        }
        return settle_by_status(entry, status.value());
    }

    bool settle_by_status(const unsettled_ticket<Session>& entry, const Json::Value& status) {
        const bool is_own = string_member(status, "nonce") == entry.sent.nonce;
        if (bool_member(status, "barred") || !is_own) {
            entry.session->release(entry.sent.budget, entry.sent.reserved);
            finish(entry, request_state::not_run, "the ticket did not arrive and is barred");
            return true;
        }
        const result<run_outcome> outcome = run_outcome::from_json(member(status, "outcome"));
        if (!outcome || !is_final(outcome.value().state)) {
            return false;
        }
        const billing_record record = make_record(entry.sent, outcome.value(), entry.superseded);
        entry.session->settle(record, entry.sent.reserved);
        finish(entry, outcome.value().state == run_state::done ? request_state::done : request_state::failed,
               outcome.value().message, record);
        return true;
    }

    void withhold(const unsettled_ticket<Session>& entry, const std::string& reason) {
        run_outcome outcome;
        outcome.state = run_state::failed;
        outcome.withheld = entry.sent.reserved;
        outcome.message = reason;
        billing_record record = make_record(entry.sent, outcome, entry.superseded);
        record.outcome = "unknown";
        entry.session->settle(record, entry.sent.reserved);
        finish(entry, request_state::unknown, reason, record);
    }

    void finish(const unsettled_ticket<Session>& entry, request_state state, const std::string& note,
                const billing_record& record = {}) {
        selector_.end(entry.agent.incarnation);
        Json::Value fields;
        fields["request_id"] = entry.sent.request_id;
        fields["agent"] = entry.agent.incarnation;
        fields["state"] = to_text(state);
        fields["billed"] = Json::Int64(record.billed);
        fields["withheld"] = Json::Int64(record.withheld);
        fields["reason"] = note;
        log_event(log_level::info, "late_settlement", fields);
        if (!entry.superseded) {
            requests_.note(entry.sent.request_id, {entry.sent.customer, state, entry.agent.incarnation,
                                                   entry.sent.attempt, record.billed, record.withheld, note});
        }
    }

    const agent_caller& caller_;
    const fleet_view& view_;
    agent_selector& selector_;
    request_table& requests_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::list<unsettled_ticket<Session>> entries_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace eelgrassgw

#pragma once

/// Settles, in the background, tickets whose outcome was unknown when the request ended, because the caller
/// disconnected or the agent did not answer in time.

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

/// Creates the billing record of a run that ended. `superseded` means that another attempt serves the
/// request, so that this one is not billed.
billing_record make_billing_record(const ticket& t, const run_outcome& outcome, bool superseded);

/// A sent ticket whose outcome is unknown. Its reservation is held until it is settled.
template <class Session>
struct unsettled_ticket {
    std::shared_ptr<Session> session;
    ticket sent;
    agent_member agent;
    bool superseded = false; ///< Whether the request was sent to another agent, and that attempt is billed.
};

/// Asks agents, on a background thread, for the outcome of each ticket until it is settled. Thread-safe.
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

    /// Takes over the reservation of `entry`. Once the ticket is settled, the settler also removes its
    /// request from the selector's count.
    void add(unsettled_ticket<Session> entry) {
        const std::lock_guard lock(mutex_);
        entries_.push_back(std::move(entry));
        changed_.notify_all();
    }

    /// Returns the number of unsettled tickets.
    std::size_t size() const {
        const std::lock_guard lock(mutex_);
        return entries_.size();
    }

private:
    static constexpr std::chrono::milliseconds round_interval{250};

    void run() {
        for (;;) {
            std::list<unsettled_ticket<Session>> round;
            {
                std::unique_lock lock(mutex_);
                changed_.wait_for(lock, round_interval, [&] { return stopping_; });
                if (stopping_) {
                    return;
                }
                round = entries_;
            }
            for (const unsettled_ticket<Session>& entry : round) {
                if (try_to_settle(entry)) {
                    remove_entry(entry.sent.nonce);
                }
            }
        }
    }

    void remove_entry(const std::string& nonce) {
        const std::lock_guard lock(mutex_);
        entries_.remove_if([&](const unsettled_ticket<Session>& entry) { return entry.sent.nonce == nonce; });
    }

    /// Settles `entry` if its outcome is known by now. Returns whether it did.
    bool try_to_settle(const unsettled_ticket<Session>& entry) {
        if (entry.session->is_fenced()) {
            finish_entry(entry, request_state::unknown,
                         "recovery settles it: this router's incarnation was sealed");
            return true;
        }
        const std::optional<agent_member> registered = view_.find_agent_incarnation(entry.agent.incarnation);
        if (!registered) {
            withhold_reservation(entry, "agent \"" + entry.agent.incarnation +
                                            "\" was replaced, and its record is lost");
            return true;
        }
        if (registered->state == member_state::closed) {
            // An agent shuts down only after the journal contains every run that it executed, so this ticket
            // did not run.
            entry.session->release(entry.sent.budget, entry.sent.reserved);
            finish_entry(entry, request_state::not_run, "the agent closed without having run it");
            return true;
        }
        const result<Json::Value> status =
            caller_.bar_ticket(entry.agent, entry.sent.request_id, entry.sent.nonce);
        if (!status || string_member(status.value(), "agent") != entry.agent.incarnation) {
            return false;
        }
        return settle_by_status(entry, status.value());
    }

    /// Settles `entry` by the status that its agent reported. Returns false if the run has not ended.
    bool settle_by_status(const unsettled_ticket<Session>& entry, const Json::Value& status) {
        const bool is_own_ticket = string_member(status, "nonce") == entry.sent.nonce;
        if (bool_member(status, "barred") || !is_own_ticket) {
            entry.session->release(entry.sent.budget, entry.sent.reserved);
            finish_entry(entry, request_state::not_run, "the ticket did not arrive and is barred");
            return true;
        }
        const result<run_outcome> outcome = run_outcome::from_json(member(status, "outcome"));
        if (!outcome || !is_final(outcome.value().state)) {
            return false;
        }
        const billing_record record = make_billing_record(entry.sent, outcome.value(), entry.superseded);
        entry.session->settle(record, entry.sent.reserved);
        finish_entry(entry,
                     outcome.value().state == run_state::done ? request_state::done : request_state::failed,
                     outcome.value().message, record);
        return true;
    }

    /// Withholds the whole reservation of `entry`, since nothing proves what its run used.
    void withhold_reservation(const unsettled_ticket<Session>& entry, const std::string& reason) {
        run_outcome outcome;
        outcome.state = run_state::failed;
        outcome.withheld = entry.sent.reserved;
        outcome.message = reason;
        billing_record record = make_billing_record(entry.sent, outcome, entry.superseded);
        record.outcome = "unknown";
        entry.session->settle(record, entry.sent.reserved);
        finish_entry(entry, request_state::unknown, reason, record);
    }

    /// Removes `entry` from the selector's count, and logs and records its final state.
    void finish_entry(const unsettled_ticket<Session>& entry, request_state state, const std::string& note,
                      const billing_record& record = {}) {
        selector_.end_request(entry.agent.incarnation);
        Json::Value fields;
        fields["request_id"] = entry.sent.request_id;
        fields["agent"] = entry.agent.incarnation;
        fields["state"] = to_text(state);
        fields["billed"] = Json::Int64(record.billed);
        fields["withheld"] = Json::Int64(record.withheld);
        fields["reason"] = note;
        log_event(log_level::info, "late_settlement", fields);
        if (!entry.superseded) {
            requests_.record(entry.sent.request_id,
                             {entry.sent.customer, state, entry.agent.incarnation, entry.sent.attempt,
                              record.billed, record.withheld, note});
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

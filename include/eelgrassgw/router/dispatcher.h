#pragma once

/// Dispatches idempotent requests: reservation, routing, retries and settlement.

#include "eelgrassgw/router/earlier_run.h"

namespace eelgrassgw {

/// Sends each request to one agent after another for as long as a retry is safe. Thread-safe: each request
/// calls it on the thread of its connection.
template <class Session>
class dispatcher {
public:
    dispatcher(attempt_runner<Session>& attempts, int max_attempts)
        : attempts_(attempts), earlier_run_(attempts), max_attempts_(max_attempts) {}

    /// Runs one request and forwards its output to `sink`.
    template <output_sink Sink>
    dispatch_result run(const std::shared_ptr<Session>& session, const work_order& order, Sink& sink) {
        dispatch_result outcome;
        open_tickets open;
        try_agents(session, order, sink, outcome, open);
        settle_open_tickets(order, outcome, open);
        return outcome;
    }

private:
    /// Sent tickets whose outcome is unknown.
    using open_tickets = std::vector<unsettled_ticket<Session>>;

    /// Tries agents until one of them runs the request or no further attempt is safe. Adds the tickets whose
    /// outcome is unknown to `open`.
    template <class Sink>
    void try_agents(const std::shared_ptr<Session>& session, const work_order& order, Sink& sink,
                    dispatch_result& outcome, open_tickets& open) {
        if (order.has_caller_key) {
            // The request is recorded before its agents are ordered; see `router::recent_requests`.
            attempts_.record_state(order, request_state::running, "");
        }
        if (!attempts_.reserve(*session, order, outcome)) {
            if (order.has_caller_key) {
                earlier_run_.find_answer(order, attempts_.agents_to_ask(order), 0, false, sink, outcome);
            }
            return;
        }
        std::vector<agent_member> agents = attempts_.agents_to_ask(order);
        call_result last;
        last.message = "no agent serves \"" + order.served_name + "\"";
        int attempt = 0;
        for (std::size_t i = 0; i < agents.size() && attempt < max_attempts_; ++i) {
            if (agents[i].state == member_state::closed) {
                if (!earlier_run_.never_ran_at(order, agents[i], outcome)) {
                    break;
                }
                continue;
            }
            const ticket t = attempts_.make_ticket(*session, order, agents[i], ++attempt);
            last = attempts_.send(*session, agents[i], t, order, sink);
            if (attempts_.has_ended(last)) {
                attempts_.finish_attempt(session, t, agents[i], last, outcome);
                return;
            }
            if (!attempts_.did_not_run(last)) {
                open.push_back({session, t, agents[i], false});
                if (!may_try_another_agent(order, last) || !reserve_again(*session, order)) {
                    outcome.caller_disconnected = last.end == call_end::caller_disconnected;
                    outcome.error =
                        outcome_unknown_error(last.message, agents[i].incarnation, order.work.idempotent);
                    return;
                }
                continue;
            }
            if (last.code == "stale_configuration") {
                attempts_.refresh_configuration();
            }
            if (may_resend_to_same_agent(order, last)) {
                agents.insert(agents.begin() + static_cast<std::ptrdiff_t>(i) + 1, agents[i]);
            }
            if (last.code == "ran_before") {
                earlier_run_.find_answer(order, agents, i + 1, true, sink, outcome);
                break;
            }
            if (must_stop_after_refusal(order, last, outcome)) {
                break;
            }
        }
        session->release(order.work.budget, order.work.reserved);
        if (!outcome.ended && outcome.error.code.empty()) {
            outcome.error = agents_refused_error(last);
        }
    }

    /// Returns whether another agent may be tried although the outcome of the last ticket is unknown.
    static bool may_try_another_agent(const work_order& order, const call_result& sent) {
        return sent.end != call_end::caller_disconnected && sent.output_bytes_received == 0 &&
               order.work.idempotent && (!order.has_caller_key || sent.end == call_end::agent_lost);
    }

    /// Reserves tokens for another attempt, since the reservation of an unsettled ticket remains in place.
    bool reserve_again(Session& session, const work_order& order) {
        dispatch_result unused;
        return attempts_.reserve(session, order, unused);
    }

    /// Hands open tickets to the settler. If no attempt ended the request, the last open ticket may still do
    /// so; all others are superseded.
    void settle_open_tickets(const work_order& order, dispatch_result& outcome, open_tickets& open) {
        for (std::size_t i = 0; i < open.size(); ++i) {
            open[i].superseded = outcome.ended || i + 1 < open.size();
        }
        if (!outcome.ended) {
            record_unfinished_request(order, outcome, open);
        }
        for (unsettled_ticket<Session>& entry : open) {
            attempts_.settle_later(std::move(entry));
        }
    }

    /// Records the state of a request that no attempt ended. If the outcome of a ticket is unknown, the
    /// state of the request is unknown too.
    void record_unfinished_request(const work_order& order, dispatch_result& outcome,
                                   const open_tickets& open) {
        if (!open.empty() && outcome.error.did_run == ran_status::no) {
            outcome.error = outcome_unknown_error(
                "an earlier attempt is open, and the next one ended thus: " + outcome.error.message,
                open.back().agent.incarnation, order.work.idempotent);
        }
        attempts_.record_state(
            order, outcome.error.did_run == ran_status::no ? request_state::not_run : request_state::unknown,
            outcome.error.message);
    }

    /// Returns whether a refusal forbids trying other agents. If so, fills in the error.
    bool must_stop_after_refusal(const work_order& order, const call_result& last, dispatch_result& outcome) {
        if (last.code == "key_reused") {
            outcome.error = key_reused_error("ticket");
            return true;
        }
        // A request with the caller's key runs at the first agent of its order. It may run at a later agent
        // only if the earlier ones will never run it; otherwise a repetition could run a second time.
        if (!order.has_caller_key || may_resend_to_same_agent(order, last) || last.code == "draining") {
            return false;
        }
        const bool certainly_not_run =
            last.end == call_end::ended || last.code == "overloaded" || last.code == "fenced";
        outcome.error =
            certainly_not_run ? agents_refused_error(last) : earlier_run_unknown_error(last.message);
        return true;
    }

    /// Returns whether another ticket may be sent to the same agent. A request with the caller's key retries
    /// a barred ticket there, since it may not move on to another agent.
    static bool may_resend_to_same_agent(const work_order& order, const call_result& last) {
        return last.code == "stale_configuration" || (order.has_caller_key && last.code == "barred");
    }

    attempt_runner<Session>& attempts_;
    earlier_run<Session> earlier_run_;
    const int max_attempts_;
};

} // namespace eelgrassgw

#pragma once

/// Takes one idempotent request through reservation, routing, retries and settlement.

#include "eelgrassgw/router/earlier_run.h"

namespace eelgrassgw {

/// Tries other agents while that is safe. Thread-safe: one call for each request, on the connection's own
/// thread.
template <class Session>
class dispatcher {
public:
    dispatcher(attempt_runner<Session>& attempts, int max_attempts)
        : attempts_(attempts), earlier_(attempts), max_attempts_(max_attempts) {}

    template <output_sink Sink>
    dispatch_result run(const std::shared_ptr<Session>& session, const work_order& order, Sink& sink) {
        dispatch_result outcome;
        open_tickets open;
        try_agents(session, order, sink, outcome, open);
        settle_open(order, outcome, open);
        return outcome;
    }

private:
    using open_tickets = std::vector<unsettled_ticket<Session>>;

    template <class Sink>
    void try_agents(const std::shared_ptr<Session>& session, const work_order& order, Sink& sink,
                    dispatch_result& outcome, open_tickets& open) {
        if (order.has_caller_key) {
            attempts_.note(order, request_state::running, ""); // Before the agents are ordered.
        }
        if (!attempts_.reserve(*session, order, outcome)) {
            if (order.has_caller_key) {
                earlier_.answer(order, attempts_.agents_to_ask(order), 0, false, sink, outcome);
            }
            return;
        }
        std::vector<agent_member> agents = attempts_.agents_to_ask(order);
        call_result last;
        last.message = "no agent serves \"" + order.served_name + "\"";
        int attempt = 0;
        for (std::size_t i = 0; i < agents.size() && attempt < max_attempts_; ++i) {
            if (agents[i].state == member_state::closed) {
                if (!earlier_.is_free_of(order, agents[i], outcome)) {
                    break;
                }
                continue;
            }
            const ticket t = attempts_.make_ticket(*session, order, agents[i], ++attempt);
            last = attempts_.send(*session, agents[i], t, order, sink);
            if (attempts_.is_ended(last)) {
                attempts_.finish(session, t, agents[i], last, outcome);
                return;
            }
            if (!attempts_.is_not_run(last)) {
                open.push_back({session, t, agents[i], false});
                if (!may_go_on(order, last) || !reserve_again(*session, order)) {
                    outcome.caller_gone = last.end == call_end::caller_gone;
                    outcome.error = unknown_error(last.message, agents[i].incarnation, order.work.idempotent);
                    return;
                }
                continue;
            }
            if (last.code == "stale_configuration") {
                attempts_.refresh_configuration();
            }
            if (may_be_sent_again(order, last)) {
                agents.insert(agents.begin() + static_cast<std::ptrdiff_t>(i) + 1, agents[i]);
            }
            if (last.code == "ran_before") {
                earlier_.answer(order, agents, i + 1, true, sink, outcome);
                break;
            }
            if (must_stop_after_refusal(order, last, outcome)) {
                break;
            }
        }
        session->release(order.work.budget, order.work.reserved);
        if (!outcome.ended && outcome.error.code.empty()) {
            outcome.error = refused_error(last);
        }
    }

    /// Whether another agent may be tried although the outcome of the last ticket is open.
    static bool may_go_on(const work_order& order, const call_result& sent) {
        return sent.end != call_end::caller_gone && sent.output_passed == 0 && order.work.idempotent &&
               (!order.has_caller_key || sent.end == call_end::agent_lost);
    }

    bool reserve_again(Session& session, const work_order& order) {
        dispatch_result unused;
        return attempts_.reserve(session, order, unused);
    }

    /// Leaves open tickets to the settler. Where no attempt ended the request, the last of them still may.
    void settle_open(const work_order& order, dispatch_result& outcome, open_tickets& open) {
        for (std::size_t i = 0; i < open.size(); ++i) {
            open[i].superseded = outcome.ended || i + 1 < open.size();
        }
        if (!outcome.ended) {
            explain_end(order, outcome, open);
        }
        for (unsettled_ticket<Session>& entry : open) {
            attempts_.leave_open(std::move(entry));
        }
    }

    /// Notes how a request stands that no attempt ended. While one is open, "not run" would not be true.
    void explain_end(const work_order& order, dispatch_result& outcome, const open_tickets& open) {
        if (!open.empty() && outcome.error.did_run == ran::no) {
            outcome.error = unknown_error("an earlier attempt is open, and the next one ended thus: " +
                                              outcome.error.message,
                                          open.back().agent.incarnation, order.work.idempotent);
        }
        attempts_.note(order,
                       outcome.error.did_run == ran::no ? request_state::not_run : request_state::unknown,
                       outcome.error.message);
    }

    /// Looks at a refusal that forbids to go on. Fills in the error and returns true then.
    bool must_stop_after_refusal(const work_order& order, const call_result& last, dispatch_result& outcome) {
        if (last.code == "key_reused") {
            outcome.error = key_reused_error("ticket");
            return true;
        }
        // A request with the caller's key runs at the first agent of its order, or at a later one only where
        // the earlier ones never will run it: else a repetition could run a second time.
        if (!order.has_caller_key || may_be_sent_again(order, last) || last.code == "draining") {
            return false;
        }
        const bool surely_not_run =
            last.end == call_end::ended || last.code == "overloaded" || last.code == "fenced";
        outcome.error = surely_not_run ? refused_error(last) : earlier_run_unknown_error(last.message);
        return true;
    }

    /// Whether the same agent may take another ticket for the order. A request with a key has no other one.
    static bool may_be_sent_again(const work_order& order, const call_result& last) {
        return last.code == "stale_configuration" || (order.has_caller_key && last.code == "barred");
    }

    attempt_runner<Session>& attempts_;
    earlier_run<Session> earlier_;
    const int max_attempts_;
};

} // namespace eelgrassgw

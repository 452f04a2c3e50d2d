#pragma once

/// Finds the outcome of an earlier request with the same key, without sending a ticket.

#include "eelgrassgw/router/attempt_runner.h"

namespace eelgrassgw {

/// Searches agents for an earlier run of an idempotent request with the caller's own key. Thread-safe.
template <class Session>
class earlier_run {
public:
    explicit earlier_run(attempt_runner<Session>& attempts) : attempts_(attempts) {}

    /// Asks the agents, starting at index `first`. If one of them has the run, forwards its answer to the
    /// caller. If an earlier run cannot be excluded, sets the error to say so; otherwise leaves the error in
    /// `outcome` unchanged. `suspected` is true if an agent before `first` reported that there may be an
    /// earlier run.
    template <output_sink Sink>
    void find_answer(const work_order& order, const std::vector<agent_member>& agents, std::size_t first,
                     bool suspected, Sink& sink, dispatch_result& outcome) {
        const std::size_t end = std::min(agents.size(), first + max_agents_asked);
        for (std::size_t i = first; i < end; ++i) {
            const finding found = agents[i].state == member_state::closed
                                      ? check_departed_agent(order, agents[i], outcome)
                                      : ask_agent(order, agents[i], sink, outcome);
            if (found == finding::settled) {
                return;
            }
            suspected = suspected || found == finding::suspected;
            if (found == finding::never_ran && agents[i].state == member_state::live) {
                break; // A run at a later agent would be known to this one.
            }
        }
        if (suspected) {
            outcome.error = ran_before_error();
        }
    }

    /// Returns whether a departed agent certainly did not run the order. If not, fills in the error.
    bool never_ran_at(const work_order& order, const agent_member& closed, dispatch_result& outcome) {
        return check_departed_agent(order, closed, outcome) == finding::never_ran;
    }

private:
    static constexpr std::size_t max_agents_asked = 3;

    /// The result of checking one agent.
    enum class finding {
        settled,   ///< The search is over, and the outcome is filled in.
        suspected, ///< The request may have run, at this agent or at another one.
        never_ran, ///< The request certainly did not run at this agent.
    };

    /// Checks the request ids that the departed agent `closed` stored.
    finding check_departed_agent(const work_order& order, const agent_member& closed,
                                 dispatch_result& outcome) {
        const result<bool> ran = attempts_.may_have_run_at(closed, order);
        if (ran && !ran.value()) {
            return finding::never_ran;
        }
        outcome.error = ran ? answer_not_kept_error(closed) : earlier_run_unknown_error(ran.error().text());
        return finding::settled;
    }

    /// Asks `agent` for the status of the request, and forwards the answer if it has the run.
    template <class Sink>
    finding ask_agent(const work_order& order, const agent_member& agent, Sink& sink,
                      dispatch_result& outcome) {
        const result<Json::Value> status = attempts_.caller().ask_status(agent, order.work.request_id);
        if (!status || string_member(status.value(), "agent") != agent.incarnation) {
            outcome.error = earlier_run_unknown_error("agent \"" + agent.incarnation + "\" does not answer");
            return finding::settled;
        }
        const result<run_outcome> known = run_outcome::from_json(member(status.value(), "outcome"));
        if (known && known.value().state != run_state::not_run) {
            join_run(order, agent, string_member(status.value(), "digest"), sink, outcome);
            return finding::settled;
        }
        const bool is_sure =
            bool_member(status.value(), "remembers_all") && !bool_member(status.value(), "ran_before");
        return is_sure ? finding::never_ran : finding::suspected;
    }

    /// Forwards the answer of the run at `agent`, unless its request had another body.
    template <class Sink>
    void join_run(const work_order& order, const agent_member& agent, const std::string& digest, Sink& sink,
                  dispatch_result& outcome) {
        if (digest != order.work.digest) {
            outcome.error = key_reused_error("status");
            return;
        }
        const call_result joined = attempts_.caller().join_run(agent, order.work, order.resume_offset, sink);
        attempts_.finish_joined_run(order, agent, joined, outcome);
    }

    attempt_runner<Session>& attempts_;
};

} // namespace eelgrassgw

#pragma once

/// Finds what became of an earlier request with the same key, without sending a ticket.

#include "eelgrassgw/router/attempt_runner.h"

namespace eelgrassgw {

/// For idempotent requests with the caller's own key. Thread-safe.
template <class Session>
class earlier_run {
public:
    explicit earlier_run(attempt_runner<Session>& attempts) : attempts_(attempts) {}

    /// Asks the agents from `first` on. Where one of them has the run, the caller gets its answer. Where it
    /// cannot be excluded that one had it, the error says so; otherwise the error in `outcome` stays.
    /// `suspected`: an agent before `first` said that there may be an earlier run.
    template <output_sink Sink>
    void answer(const work_order& order, const std::vector<agent_member>& agents, std::size_t first,
                bool suspected, Sink& sink, dispatch_result& outcome) {
        const std::size_t end = std::min(agents.size(), first + most_agents_asked);
        for (std::size_t i = first; i < end; ++i) {
            const finding found = agents[i].state == member_state::closed
                                      ? look_into_memory(order, agents[i], outcome)
                                      : ask(order, agents[i], sink, outcome);
            if (found == finding::settled) {
                return;
            }
            suspected = suspected || found == finding::suspected;
            if (found == finding::never_ran && agents[i].state == member_state::live) {
                break; // Had there been a run behind this agent, this one would know of it.
            }
        }
        if (suspected) {
            outcome.error = ran_before_error();
        }
    }

    /// Whether a departed agent certainly did not run the order. Otherwise fills in the error.
    bool is_free_of(const work_order& order, const agent_member& closed, dispatch_result& outcome) {
        return look_into_memory(order, closed, outcome) == finding::never_ran;
    }

private:
    static constexpr std::size_t most_agents_asked = 3;

    enum class finding {
        settled,   ///< The outcome is filled in.
        suspected, ///< It may have run, here or elsewhere.
        never_ran, ///< It certainly did not run here.
    };

    finding look_into_memory(const work_order& order, const agent_member& closed, dispatch_result& outcome) {
        const result<bool> ran = attempts_.may_have_run_at(closed, order);
        if (ran && !ran.value()) {
            return finding::never_ran;
        }
        outcome.error = ran ? answer_left_error(closed) : earlier_run_unknown_error(ran.error().text());
        return finding::settled;
    }

    template <class Sink>
    finding ask(const work_order& order, const agent_member& agent, Sink& sink, dispatch_result& outcome) {
        const result<Json::Value> status = attempts_.caller().ask_status(agent, order.work.request_id);
        if (!status || string_member(status.value(), "agent") != agent.incarnation) {
            outcome.error = earlier_run_unknown_error("agent \"" + agent.incarnation + "\" does not answer");
            return finding::settled;
        }
        const result<run_outcome> known = run_outcome::from_json(member(status.value(), "outcome"));
        if (known && known.value().state != run_state::not_run) {
            join(order, agent, string_member(status.value(), "digest"), sink, outcome);
            return finding::settled;
        }
        const bool is_sure =
            bool_member(status.value(), "remembers_all") && !bool_member(status.value(), "ran_before");
        return is_sure ? finding::never_ran : finding::suspected;
    }

    template <class Sink>
    void join(const work_order& order, const agent_member& agent, const std::string& digest, Sink& sink,
              dispatch_result& outcome) {
        if (digest != order.work.digest) {
            outcome.error = key_reused_error("status");
            return;
        }
        const call_result joined = attempts_.caller().join_run(agent, order.work, order.resume_offset, sink);
        attempts_.finish_joined(order, agent, joined, outcome);
    }

    attempt_runner<Session>& attempts_;
};

} // namespace eelgrassgw

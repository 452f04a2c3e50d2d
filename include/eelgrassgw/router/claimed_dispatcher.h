#pragma once

/// Dispatches non-idempotent calls. A claim in the object store ensures that each call runs at most once.

#include "eelgrassgw/claim/claim.h"
#include "eelgrassgw/router/attempt_runner.h"

namespace eelgrassgw {

/// Claims, routes and settles non-idempotent calls. Thread-safe: each request calls it on the thread of its
/// connection.
template <object_store Store, class Session>
class claimed_dispatcher {
public:
    claimed_dispatcher(Store& store, attempt_runner<Session>& attempts, int max_attempts)
        : claims_(store), attempts_(attempts), max_attempts_(max_attempts) {}

    /// Runs a call at most once, even if its caller repeats it at several routers. The call is claimed before
    /// it is sent.
    template <output_sink Sink>
    dispatch_result run(const std::shared_ptr<Session>& session, const work_order& order, Sink& sink) {
        dispatch_result outcome;
        std::vector<std::string> tried;
        for (int i = 0; i < 2 * max_attempts_; ++i) {
            const result<std::optional<stored_claim>> existing =
                claims_.read(order.served_name, order.work.request_id);
            if (!existing) {
                outcome.error = claim_unreadable_error(existing.error());
                return outcome;
            }
            if (existing.value() && !may_send_under_claim(*existing.value(), order, sink, outcome)) {
                return outcome;
            }
            const std::optional<agent_member> agent = find_untried_agent(order, tried);
            if (!agent) {
                outcome.error = agents_refused_error({});
                outcome.error.message = "no agent serves \"" + order.served_name + "\" at the moment.";
                return outcome;
            }
            if (!attempts_.reserve(*session, order, outcome)) {
                return outcome;
            }
            const int attempt = existing.value() ? existing.value()->value.attempt + 1 : 1;
            const ticket t = attempts_.make_ticket(*session, order, *agent, attempt);
            const result<stored_claim> claimed = claims_.write(
                make_claim(order, *agent, t), existing.value() ? existing.value()->version : absent_version);
            if (!claimed) {
                session->release(order.work.budget, order.work.reserved);
                if (claimed.failed_with(errc::version_conflict)) {
                    continue;
                }
                outcome.error = claim_unreachable_error(claimed.error());
                attempts_.record_state(order, request_state::not_run, outcome.error.message);
                return outcome;
            }
            failpoint("claim_written");
            if (send_claimed_call(session, order, t, *agent, claimed.value(), sink, outcome, tried)) {
                return outcome;
            }
        }
        if (outcome.error.code.empty()) {
            outcome.error = agents_refused_error({});
        }
        return outcome;
    }

private:
    /// Longer answers are not stored in the claim.
    static constexpr std::size_t max_kept_answer_bytes = 64U << 10U;

    /// Returns whether the request may be sent under an existing claim. If not, fills in `outcome`.
    template <class Sink>
    bool may_send_under_claim(const stored_claim& existing, const work_order& order, Sink& sink,
                              dispatch_result& outcome) {
        const claim& c = existing.value;
        if (c.digest != order.work.digest) {
            outcome.error = key_reused_error("claim");
            return false;
        }
        if (c.state == claim_state::done) {
            replay_answer(c, sink, outcome);
            return false;
        }
        return c.state == claim_state::not_run || resolve_open_claim(existing, order, sink, outcome);
    }

    /// Delivers the answer that is stored in the claim `c`.
    template <class Sink>
    static void replay_answer(const claim& c, Sink& sink, dispatch_result& outcome) {
        (void)sink.accept(c.answer);
        outcome.succeeded = true;
        outcome.replayed = true;
        outcome.agent = c.agent;
        outcome.outcome.state = run_state::done;
        outcome.outcome.status = c.status;
    }

    /// Asks the agent that an open claim names whether the call ran. An agent that has not seen the ticket
    /// promises never to run it. Returns whether the call may be sent again; if not, fills in `outcome`.
    template <class Sink>
    bool resolve_open_claim(const stored_claim& existing, const work_order& order, Sink& sink,
                            dispatch_result& outcome) {
        const claim& c = existing.value;
        const std::optional<agent_member> agent = attempts_.view().find_agent(c.backend_server);
        if (!agent || agent->incarnation != c.agent) {
            outcome.error =
                outcome_unknown_error("agent \"" + c.agent + "\" was lost with its record", c.agent, false);
            return false;
        }
        const result<Json::Value> status = attempts_.caller().bar_ticket(*agent, c.request_id, c.nonce);
        if (!status || string_member(status.value(), "agent") != c.agent) {
            outcome.error =
                outcome_unknown_error("agent \"" + c.agent + "\" does not answer", c.agent, false);
            return false;
        }
        if (bool_member(status.value(), "barred")) {
            return true;
        }
        const result<run_outcome> known = run_outcome::from_json(member(status.value(), "outcome"));
        if (known && known.value().state == run_state::not_run) {
            return true;
        }
        const call_result joined = attempts_.caller().join_run(*agent, order.work, 0, sink);
        attempts_.finish_joined_run(order, *agent, joined, outcome);
        return false;
    }

    /// Returns the first agent, in the order to try, whose backend server is not in `tried`.
    std::optional<agent_member> find_untried_agent(const work_order& order,
                                                   const std::vector<std::string>& tried) const {
        for (const agent_member& agent : attempts_.live_agents(order)) {
            if (std::find(tried.begin(), tried.end(), agent.backend_server) == tried.end()) {
                return agent;
            }
        }
        return std::nullopt;
    }

    claim make_claim(const work_order& order, const agent_member& agent, const ticket& t) const {
        claim c;
        c.service = order.served_name;
        c.request_id = t.request_id;
        c.customer = t.customer;
        c.digest = t.digest;
        c.router = t.router;
        c.backend_server = agent.backend_server;
        c.agent = agent.incarnation;
        c.nonce = t.nonce;
        c.attempt = t.attempt;
        return c;
    }

    /// Sends a claimed call. Returns false if it did not run and may be sent again to an agent whose backend
    /// server is not in `tried`.
    template <class Sink>
    bool send_claimed_call(const std::shared_ptr<Session>& session, const work_order& order, const ticket& t,
                           const agent_member& agent, const stored_claim& claimed, Sink& sink,
                           dispatch_result& outcome, std::vector<std::string>& tried) {
        capturing_sink<Sink> capturing{sink, ""};
        const call_result sent = attempts_.send(*session, agent, t, order, capturing);
        if (attempts_.has_ended(sent)) {
            attempts_.finish_attempt(session, t, agent, sent, outcome);
            if (sent.outcome.state == run_state::done) {
                record_answer(claimed, sent, capturing.captured);
            } else if (sent.outcome.used == 0) {
                outcome.error = outcome_unknown_error(sent.outcome.message, agent.incarnation, false);
            }
            return true;
        }
        if (attempts_.did_not_run(sent)) {
            session->release(t.budget, t.reserved);
            outcome.error = agents_refused_error(sent);
            attempts_.record_state(order, request_state::not_run, outcome.error.message);
            if (sent.code != "barred") { // A ticket that was lost on the network is no fault of its agent.
                tried.push_back(agent.backend_server);
            }
            claim freed = claimed.value;
            freed.state = claim_state::not_run;
            const result<stored_claim> written = claims_.write(freed, claimed.version);
            // If another router has taken over the claim, the next attempt finds the run of that router.
            return !written && !written.failed_with(errc::version_conflict);
        }
        attempts_.settle_later({session, t, agent, false});
        outcome.caller_disconnected = sent.end == call_end::caller_disconnected;
        outcome.error = outcome_unknown_error(sent.message, agent.incarnation, false);
        attempts_.record_state(order, request_state::unknown, outcome.error.message);
        return true;
    }

    /// A sink that forwards output and keeps a copy of it.
    template <class Sink>
    struct capturing_sink {
        Sink& sink;
        std::string captured;

        bool accept(const std::string& text) {
            captured += text;
            return sink.accept(text);
        }
        bool is_alive() { return sink.is_alive(); }
    };

    /// Stores the answer in the claim, for requests that repeat the key. A failure is ignored, since the
    /// agent can still deliver the answer.
    void record_answer(const stored_claim& claimed, const call_result& sent, const std::string& answer) {
        if (answer.size() > max_kept_answer_bytes) {
            return;
        }
        claim finished = claimed.value;
        finished.state = claim_state::done;
        finished.status = sent.outcome.status;
        finished.answer = answer;
        failpoint("claim_before_done");
        (void)claims_.write(finished, claimed.version);
    }

    claim_store<Store> claims_;
    attempt_runner<Session>& attempts_;
    const int max_attempts_;
};

} // namespace eelgrassgw

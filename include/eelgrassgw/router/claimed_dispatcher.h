#pragma once

/// Takes one non-idempotent call through its claim, routing and settlement: it runs at most once.

#include "eelgrassgw/claim/claim.h"
#include "eelgrassgw/router/attempt_runner.h"

namespace eelgrassgw {

/// Thread-safe: one call for each request, on the connection's own thread.
template <object_store Store, class Session>
class claimed_dispatcher {
public:
    claimed_dispatcher(Store& store, attempt_runner<Session>& attempts, int max_attempts)
        : claims_(store), attempts_(attempts), max_attempts_(max_attempts) {}

    /// Runs a non-idempotent call at most once, whoever repeats it: it is claimed before it is sent.
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
            if (existing.value() && !may_take(*existing.value(), order, sink, outcome)) {
                return outcome;
            }
            const std::optional<agent_member> agent = next_agent(order, tried);
            if (!agent) {
                outcome.error = refused_error({});
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
                attempts_.note(order, request_state::not_run, outcome.error.message);
                return outcome;
            }
            failpoint("claim_written");
            if (send_claimed(session, order, t, *agent, claimed.value(), sink, outcome, tried)) {
                return outcome;
            }
        }
        if (outcome.error.code.empty()) {
            outcome.error = refused_error({});
        }
        return outcome;
    }

private:
    static constexpr std::size_t max_kept_answer_bytes = 64U << 10U;

    /// Whether the request may be sent under an existing claim. Otherwise fills in the outcome.
    template <class Sink>
    bool may_take(const stored_claim& existing, const work_order& order, Sink& sink,
                  dispatch_result& outcome) {
        const claim& c = existing.value;
        if (c.digest != order.work.digest) {
            outcome.error = key_reused_error("claim");
            return false;
        }
        if (c.state == claim_state::done) {
            replay(c, sink, outcome);
            return false;
        }
        return c.state == claim_state::not_run || is_free_after_asking(existing, order, sink, outcome);
    }

    template <class Sink>
    static void replay(const claim& c, Sink& sink, dispatch_result& outcome) {
        (void)sink.accept(c.answer);
        outcome.succeeded = true;
        outcome.replayed = true;
        outcome.agent = c.agent;
        outcome.outcome.state = run_state::done;
        outcome.outcome.status = c.status;
    }

    /// Asks the agent that an open claim names, which promises not to run a ticket that it has not seen.
    template <class Sink>
    bool is_free_after_asking(const stored_claim& existing, const work_order& order, Sink& sink,
                              dispatch_result& outcome) {
        const claim& c = existing.value;
        const std::optional<agent_member> agent = attempts_.view().find_agent(c.backend_server);
        if (!agent || agent->incarnation != c.agent) {
            outcome.error =
                unknown_error("agent \"" + c.agent + "\" was lost with its record", c.agent, false);
            return false;
        }
        const result<Json::Value> status = attempts_.caller().bar_ticket(*agent, c.request_id, c.nonce);
        if (!status || string_member(status.value(), "agent") != c.agent) {
            outcome.error = unknown_error("agent \"" + c.agent + "\" does not answer", c.agent, false);
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
        attempts_.finish_joined(order, *agent, joined, outcome);
        return false;
    }

    /// The first agent of the order that was not tried yet.
    std::optional<agent_member> next_agent(const work_order& order,
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

    /// Sends a claimed call. Returns false where it did not run and may be sent again, to an agent that is
    /// not in `tried`.
    template <class Sink>
    bool send_claimed(const std::shared_ptr<Session>& session, const work_order& order, const ticket& t,
                      const agent_member& agent, const stored_claim& claimed, Sink& sink,
                      dispatch_result& outcome, std::vector<std::string>& tried) {
        capturing_sink<Sink> capturing{sink, ""};
        const call_result sent = attempts_.send(*session, agent, t, order, capturing);
        if (attempts_.is_ended(sent)) {
            attempts_.finish(session, t, agent, sent, outcome);
            if (sent.outcome.state == run_state::done) {
                record_answer(claimed, sent, capturing.captured);
            } else if (sent.outcome.used == 0) {
                outcome.error = unknown_error(sent.outcome.message, agent.incarnation, false);
            }
            return true;
        }
        if (attempts_.is_not_run(sent)) {
            session->release(t.budget, t.reserved);
            outcome.error = refused_error(sent);
            attempts_.note(order, request_state::not_run, outcome.error.message);
            if (sent.code != "barred") { // A lost ticket says nothing about its agent.
                tried.push_back(agent.backend_server);
            }
            claim freed = claimed.value;
            freed.state = claim_state::not_run;
            const result<stored_claim> written = claims_.write(freed, claimed.version);
            // Where another router has taken the claim over, the next round meets its run.
            return !written && !written.failed_with(errc::version_conflict);
        }
        attempts_.leave_open({session, t, agent, false});
        outcome.caller_gone = sent.end == call_end::caller_gone;
        outcome.error = unknown_error(sent.message, agent.incarnation, false);
        attempts_.note(order, request_state::unknown, outcome.error.message);
        return true;
    }

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

    /// Keeps the answer for repeated keys. Best effort: until it is written, the agent can tell.
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

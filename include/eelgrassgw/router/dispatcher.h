#pragma once

/// Takes one admitted request through reservation, routing, retries and settlement.

#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/claim/claim.h"
#include "eelgrassgw/configuration/configuration_follower.h"
#include "eelgrassgw/metrics/metrics.h"
#include "eelgrassgw/router/dispatch_errors.h"
#include "eelgrassgw/router/settler.h"
#include "eelgrassgw/settings/process_settings.h"

namespace eelgrassgw {

/// What shall be done.
struct work_order {
    ticket work;                 ///< Without the fields that each attempt sets.
    std::string served_name;     ///< Model or service.
    bool has_caller_key = false; ///< The request id comes from the caller's own key.
    routing_request routing;
    steady_time deadline{};
    std::size_t resume_offset = 0;
};

struct dispatch_result {
    bool succeeded = false;
    bool caller_gone = false;
    caller_error error;  ///< Where it did not succeed.
    run_outcome outcome; ///< Where it succeeded.
    std::string agent;
    bool replayed = false; ///< The answer is that of an earlier run under the same key.
};

/// What the dispatcher needs of the router around it.
struct router_port {
    std::function<void()> refresh_configuration;
    std::function<bool(const std::string& budget, tokens amount)>
        reclaim; ///< Asks other holders to give back.
};

/// Thread-safe: one call for each request, on the connection's own thread.
template <object_store Store, class Session>
class dispatcher {
public:
    dispatcher(Store& store, const router_settings& settings, const configuration_holder& configurations,
               const fleet_view& view, agent_selector& selector, request_table& requests,
               const agent_caller& caller, settler<Session>& late, metrics_registry& metrics,
               router_port port)
        : claims_(store), settings_(settings), configurations_(configurations), view_(view),
          selector_(selector), requests_(requests), caller_(caller), late_(late), metrics_(metrics),
          port_(std::move(port)) {}

    /// Runs an idempotent request; tries other agents while that is safe.
    template <output_sink Sink>
    dispatch_result run(const std::shared_ptr<Session>& session, const work_order& order, Sink& sink) {
        dispatch_result outcome;
        if (!reserve(*session, order, outcome)) {
            return outcome;
        }
        std::vector<agent_member> agents = ordered_agents(order);
        call_result last;
        last.message = "no agent serves \"" + order.served_name + "\"";
        int attempt = 0;
        for (std::size_t i = 0; i < agents.size() && attempt < settings_.max_attempts; ++i) {
            const ticket t = make_ticket(*session, order, agents[i], ++attempt);
            last = send(*session, agents[i], t, order, sink);
            if (is_ended(last)) {
                finish(session, t, agents[i], last, outcome);
                return outcome;
            }
            if (last.end == call_end::refused || last.end == call_end::not_sent ||
                last.end == call_end::ended) {
                if (last.code == "stale_configuration") {
                    port_.refresh_configuration();
                    agents.insert(agents.begin() + static_cast<std::ptrdiff_t>(i) + 1, agents[i]);
                }
                if (must_stop_after_refusal(order, last, outcome)) {
                    break;
                }
                continue;
            }
            if (!hand_over(session, order, t, agents[i], last, outcome)) {
                return outcome;
            }
        }
        session->release(order.work.budget, order.work.reserved);
        if (outcome.error.code.empty()) {
            outcome.error = refused_error(last);
        }
        note(order, request_state::not_run, outcome.error.message);
        return outcome;
    }

    /// Runs a non-idempotent call at most once, whoever repeats it: it is claimed before it is sent.
    template <output_sink Sink>
    dispatch_result run_claimed(const std::shared_ptr<Session>& session, const work_order& order,
                                Sink& sink) {
        dispatch_result outcome;
        std::vector<std::string> tried;
        for (int i = 0; i < 2 * settings_.max_attempts; ++i) {
            const result<std::optional<stored_claim>> existing =
                claims_.read(order.served_name, order.work.request_id);
            if (!existing) {
                outcome.error = claim_unreachable_error(existing.error());
                return outcome;
            }
            if (existing.value() && !may_take(*existing.value(), order, sink, outcome)) {
                return outcome;
            }
            const std::optional<agent_member> agent = next_agent(order, existing.value(), tried);
            if (!agent) {
                outcome.error = refused_error({});
                outcome.error.message = "no agent serves \"" + order.served_name + "\" at the moment.";
                return outcome;
            }
            tried.push_back(agent->backend_server);
            if (!reserve(*session, order, outcome)) {
                return outcome;
            }
            const int attempt = existing.value() ? existing.value()->value.attempt + 1 : 1;
            const ticket t = make_ticket(*session, order, *agent, attempt);
            const result<stored_claim> claimed = claims_.write(
                make_claim(order, *agent, t), existing.value() ? existing.value()->version : absent_version);
            if (!claimed) {
                session->release(order.work.budget, order.work.reserved);
                if (claimed.failed_with(errc::version_conflict)) {
                    tried.pop_back();
                    continue;
                }
                outcome.error = claim_unreachable_error(claimed.error());
                note(order, request_state::not_run, outcome.error.message);
                return outcome;
            }
            failpoint("claim_written");
            if (send_claimed(session, order, t, *agent, claimed.value(), sink, outcome)) {
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

    bool reserve(Session& session, const work_order& order, dispatch_result& outcome) {
        failpoint("router_admission");
        result<done> reserved = session.reserve(order.work.budget, order.work.reserved);
        if (reserved.failed_with(errc::budget_exhausted) &&
            port_.reclaim(order.work.budget, order.work.reserved)) {
            session.ledger().forget_cached(order.work.budget);
            reserved = session.reserve(order.work.budget, order.work.reserved);
        }
        log_admission(order, reserved);
        if (reserved) {
            return true;
        }
        outcome.error = admission_error(reserved.error());
        note(order, request_state::not_run, outcome.error.message);
        return false;
    }

    std::vector<agent_member> ordered_agents(const work_order& order) const {
        const auto in_force = configurations_.current();
        return selector_.order(view_.agents_serving(*in_force, order.served_name), order.routing,
                               order.has_caller_key, std::chrono::steady_clock::now());
    }

    ticket make_ticket(Session& session, const work_order& order, const agent_member& agent,
                       int attempt) const {
        ticket t = order.work;
        t.router = session.incarnation();
        t.agent = agent.incarnation;
        t.nonce = random_id();
        t.attempt = attempt;
        t.revision = configurations_.revision();
        const auto left = order.deadline - std::chrono::steady_clock::now();
        t.deadline = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                              std::chrono::milliseconds(0));
        return t;
    }

    /// The fault that the failpoint "bill_at_send" brings about, to show that the tests would catch it.
    static void bill_worst_case(Session& session, const ticket& t) {
        run_outcome outcome;
        outcome.state = run_state::done;
        outcome.used = t.reserved;
        session.settle(make_record(t, outcome, false), t.reserved);
    }

    template <class Sink>
    call_result send(Session& session, const agent_member& agent, const ticket& t, const work_order& order,
                     Sink& sink) {
        requests_.note(t.request_id,
                       {t.customer, request_state::running, agent.incarnation, t.attempt, 0, 0, ""});
        selector_.begin(agent.incarnation);
        failpoint("router_before_ticket");
        if (failpoint("bill_at_send") == failpoint_action::skip) {
            bill_worst_case(session, t);
        }
        call_result sent = caller_.run_ticket(agent, t, order.resume_offset, sink);
        failpoint("router_after_ticket");
        const bool reached = sent.end != call_end::not_sent && sent.end != call_end::unknown;
        if (reached) {
            selector_.note_reachable(agent.incarnation);
        } else {
            selector_.note_unreachable(agent.incarnation, std::chrono::steady_clock::now());
        }
        const bool stays_open = sent.end == call_end::unknown || sent.end == call_end::agent_lost ||
                                sent.end == call_end::caller_gone;
        if (!stays_open) {
            selector_.end(agent.incarnation);
        }
        log_routing(t, agent, sent);
        return sent;
    }

    /// Whether the run came to an end that settles the request.
    static bool is_ended(const call_result& sent) {
        return sent.end == call_end::ended && sent.outcome.state != run_state::not_run;
    }

    void finish(const std::shared_ptr<Session>& session, const ticket& t, const agent_member& agent,
                const call_result& sent, dispatch_result& outcome) {
        const billing_record record = make_record(t, sent.outcome, false);
        failpoint("router_settle");
        if (sent.is_own_run) {
            session->settle(record, t.reserved);
        } else {
            session->release(t.budget, t.reserved);
        }
        outcome.agent = agent.incarnation;
        outcome.outcome = sent.outcome;
        outcome.replayed = !sent.is_own_run;
        outcome.succeeded = sent.outcome.state == run_state::done && sent.output_kept;
        if (!outcome.succeeded) {
            outcome.error = ended_error(sent, agent);
        }
        const bool is_done = sent.outcome.state == run_state::done;
        requests_.note(t.request_id,
                       {t.customer, is_done ? request_state::done : request_state::failed, agent.incarnation,
                        t.attempt, record.billed, record.withheld, sent.outcome.message});
    }

    /// Looks at a refusal that forbids to go on. Fills in the error and returns true then.
    bool must_stop_after_refusal(const work_order& order, const call_result& last, dispatch_result& outcome) {
        if (last.code == "key_reused") {
            outcome.error = key_reused_error("ticket");
            return true;
        }
        if (last.code == "ran_before") {
            outcome.error = unknown_error(last.message, "", false);
            outcome.error.status = 409;
            outcome.error.code = "ran_before";
            outcome.error.retry_after = {};
            return true;
        }
        // A request with the caller's key runs at the first agent of its order, or at a later one only where
        // the earlier ones never will run it: else a repetition could run a second time.
        if (!order.has_caller_key || last.code == "stale_configuration" || is_barred_for_good(last)) {
            return false;
        }
        const bool surely_not_run =
            last.end == call_end::ended || last.code == "overloaded" || last.code == "fenced";
        outcome.error = surely_not_run ? refused_error(last) : earlier_run_unknown_error(last);
        return true;
    }

    static bool is_barred_for_good(const call_result& last) {
        return last.code == "draining" || last.code == "barred";
    }

    /// Leaves a ticket with an open outcome to the settler. Returns whether another agent may be tried.
    bool hand_over(const std::shared_ptr<Session>& session, const work_order& order, const ticket& t,
                   const agent_member& agent, const call_result& sent, dispatch_result& outcome) {
        const bool may_go_on = sent.end != call_end::caller_gone && sent.output_passed == 0 &&
                               order.work.idempotent &&
                               (!order.has_caller_key || sent.end == call_end::agent_lost);
        dispatch_result second;
        const bool has_second = may_go_on && reserve(*session, order, second);
        late_.add({session, t, agent, has_second});
        if (has_second) {
            return true;
        }
        outcome.caller_gone = sent.end == call_end::caller_gone;
        outcome.error = unknown_error(sent.message, agent.incarnation, order.work.idempotent);
        note(order, request_state::unknown, outcome.error.message);
        return false;
    }

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
        const std::optional<agent_member> agent = view_.find_agent(c.backend_server);
        if (!agent || agent->incarnation != c.agent) {
            outcome.error =
                unknown_error("agent \"" + c.agent + "\" was lost with its record", c.agent, false);
            return false;
        }
        const result<Json::Value> status = caller_.ask_status(*agent, c.request_id, true);
        if (!status || string_member(status.value(), "agent") != c.agent) {
            outcome.error = unknown_error("agent \"" + c.agent + "\" does not answer", c.agent, false);
            return false;
        }
        if (bool_member(status.value(), "tombstoned")) {
            return true;
        }
        const result<run_outcome> known = run_outcome::from_json(member(status.value(), "outcome"));
        if (known && known.value().state == run_state::not_run) {
            return true;
        }
        const call_result joined = caller_.join_run(*agent, order.work, 0, sink);
        finish_joined(existing, *agent, joined, outcome);
        return false;
    }

    void finish_joined(const stored_claim& existing, const agent_member& agent, const call_result& joined,
                       dispatch_result& outcome) {
        outcome.agent = agent.incarnation;
        outcome.replayed = true;
        outcome.caller_gone = joined.end == call_end::caller_gone;
        outcome.outcome = joined.outcome;
        outcome.succeeded =
            joined.end == call_end::ended && joined.outcome.state == run_state::done && joined.output_kept;
        if (outcome.succeeded) {
            return;
        }
        outcome.error = joined.end == call_end::ended
                            ? ended_error(joined, agent)
                            : unknown_error(joined.message, existing.value.agent, false);
    }

    std::optional<agent_member> next_agent(const work_order& order,
                                           const std::optional<stored_claim>& existing,
                                           const std::vector<std::string>& tried) const {
        for (const agent_member& agent : ordered_agents(order)) {
            const bool was_tried = std::find(tried.begin(), tried.end(), agent.backend_server) != tried.end();
            const bool is_barred = existing && existing->value.backend_server == agent.backend_server;
            if (!was_tried && !is_barred) {
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

    /// Sends a claimed call. Returns false where it did not run and another agent may be tried.
    template <class Sink>
    bool send_claimed(const std::shared_ptr<Session>& session, const work_order& order, const ticket& t,
                      const agent_member& agent, const stored_claim& claimed, Sink& sink,
                      dispatch_result& outcome) {
        capturing_sink<Sink> capturing{sink, ""};
        const call_result sent = send(*session, agent, t, order, capturing);
        if (is_ended(sent)) {
            finish(session, t, agent, sent, outcome);
            if (sent.outcome.state == run_state::done) {
                record_answer(claimed, sent, capturing.captured);
            } else if (sent.outcome.used == 0) {
                outcome.error = unknown_error(sent.outcome.message, agent.incarnation, false);
            }
            return true;
        }
        if (sent.end == call_end::refused || sent.end == call_end::not_sent || sent.end == call_end::ended) {
            session->release(t.budget, t.reserved);
            outcome.error = refused_error(sent);
            note(order, request_state::not_run, outcome.error.message);
            claim freed = claimed.value;
            freed.state = claim_state::not_run;
            return !claims_.write(freed, claimed.version).ok();
        }
        late_.add({session, t, agent, false});
        outcome.caller_gone = sent.end == call_end::caller_gone;
        outcome.error = unknown_error(sent.message, agent.incarnation, false);
        note(order, request_state::unknown, outcome.error.message);
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

    void note(const work_order& order, request_state state, const std::string& why) {
        requests_.note(order.work.request_id, {order.work.customer, state, "", 0, 0, 0, why});
    }

    void log_admission(const work_order& order, const result<done>& reserved) {
        metrics_.count("admissions", {{"outcome", reserved ? "admitted" : reserved.error().code.message()}});
        Json::Value fields;
        fields["request_id"] = order.work.request_id;
        fields["customer"] = order.work.customer;
        fields["budget"] = order.work.budget;
        fields["reserve"] = Json::Int64(order.work.reserved);
        fields["decision"] = reserved ? "admitted" : "refused";
        fields["reason"] = reserved ? "" : reserved.error().text();
        log_event(log_level::info, "admission", fields);
    }

    void log_routing(const ticket& t, const agent_member& agent, const call_result& sent) {
        static const char* const names[] = {"ended",      "not_sent", "refused",
                                            "agent_lost", "unknown",  "caller_gone"};
        const char* end = names[static_cast<std::size_t>(sent.end)];
        metrics_.count("tickets", {{"end", end}});
        Json::Value fields;
        fields["request_id"] = t.request_id;
        fields["attempt"] = t.attempt;
        fields["agent"] = agent.incarnation;
        fields["data_centre"] = agent.data_centre;
        fields["own_in_flight"] = selector_.in_flight(agent.incarnation);
        fields["end"] = end;
        fields["code"] = sent.code;
        fields["reason"] = sent.message;
        log_event(log_level::info, "routing", fields);
    }

    claim_store<Store> claims_;
    const router_settings& settings_;
    const configuration_holder& configurations_;
    const fleet_view& view_;
    agent_selector& selector_;
    request_table& requests_;
    const agent_caller& caller_;
    settler<Session>& late_;
    metrics_registry& metrics_;
    router_port port_;
};

} // namespace eelgrassgw

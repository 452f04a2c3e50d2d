#pragma once

/// The steps of one attempt that all dispatchers share: reserving tokens, sending a ticket and settling it.

#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/configuration/configuration_follower.h"
#include "eelgrassgw/metrics/metrics.h"
#include "eelgrassgw/router/dispatch_errors.h"
#include "eelgrassgw/router/settler.h"
#include "eelgrassgw/router/work_order.h"

namespace eelgrassgw {

/// Callbacks through which attempts use the router.
struct router_calls {
    /// Fetches the newest configuration.
    std::function<void()> refresh_configuration;

    /// Asks other routers to return unused tokens of `budget`. Returns whether any router did.
    std::function<bool(const std::string& budget, tokens amount)> reclaim_allowance;

    /// Checks the request ids that an agent stored before it shut down.
    std::function<result<bool>(const agent_member& closed, const std::string& request_id)> may_have_run_at;
};

/// Runs the steps of an attempt. Thread-safe: each request calls it on the thread of its connection.
template <class Session>
class attempt_runner {
public:
    attempt_runner(const configuration_holder& configurations, const fleet_view& view,
                   agent_selector& selector, request_table& requests, const agent_caller& caller,
                   settler<Session>& late_settler, metrics_registry& metrics, router_calls calls)
        : configurations_(configurations), view_(view), selector_(selector), requests_(requests),
          caller_(caller), settler_(late_settler), metrics_(metrics), calls_(std::move(calls)) {}

    /// Reserves the maximum cost of the request. On failure, fills in the error and returns false.
    bool reserve(Session& session, const work_order& order, dispatch_result& outcome) {
        failpoint("router_admission");
        result<done> reserved = session.reserve(order.work.budget, order.work.reserved);
        if (reserved.failed_with(errc::budget_exhausted) &&
            calls_.reclaim_allowance(order.work.budget, order.work.reserved)) {
            session.ledger().invalidate_cache(order.work.budget);
            reserved = session.reserve(order.work.budget, order.work.reserved);
        }
        log_admission(order, reserved);
        if (reserved) {
            return true;
        }
        count_false_refusal(session, order, reserved.error());
        outcome.error = admission_error(reserved.error());
        record_state(order, request_state::not_run, outcome.error.message);
        return false;
    }

    /// Returns the live agents that serve the model or service of `order`, in the order to try.
    std::vector<agent_member> live_agents(const work_order& order) const {
        return order_by_preference(view_.agents_serving(*configurations_.current(), order.served_name),
                                   order);
    }

    /// Returns the same agents as `live_agents`. If `order` has the caller's own key, the result also
    /// contains agents that are draining or have shut down, since they may know an earlier run.
    std::vector<agent_member> agents_to_ask(const work_order& order) const {
        if (!order.has_caller_key) {
            return live_agents(order);
        }
        return order_by_preference(
            view_.agents_serving_in_any_state(*configurations_.current(), order.served_name), order);
    }

    /// Returns whether `order` may have run at `closed`, an agent that has shut down.
    result<bool> may_have_run_at(const agent_member& closed, const work_order& order) const {
        return calls_.may_have_run_at(closed, order.work.request_id);
    }

    /// Creates the ticket for one attempt at `agent`.
    ticket make_ticket(Session& session, const work_order& order, const agent_member& agent,
                       int attempt) const {
        ticket t = order.work;
        t.router = session.incarnation();
        t.router_registered_at = session.registration().registered_at();
        t.agent = agent.incarnation;
        t.nonce = random_id();
        t.attempt = attempt;
        const std::shared_ptr<const configuration> config = configurations_.current();
        t.revision = config->revision();
        t.max_running = config->max_running_per_backend_server();
        const auto left = order.deadline - std::chrono::steady_clock::now();
        t.deadline = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                              std::chrono::milliseconds(0));
        return t;
    }

    /// Sends `t` to `agent`, forwards the output to `sink` and records the result for later routing.
    template <class Sink>
    call_result send(Session& session, const agent_member& agent, const ticket& t, const work_order& order,
                     Sink& sink) {
        requests_.record(t.request_id,
                         {t.customer, request_state::running, agent.incarnation, t.attempt, 0, 0, ""});
        selector_.begin_request(agent.incarnation);
        failpoint("router_before_ticket");
        if (failpoint("bill_at_send") == failpoint_action::skip) {
            bill_worst_case(session, t);
        }
        call_result sent = caller_.run_ticket(agent, t, order.resume_offset, sink);
        failpoint("router_after_ticket");
        const bool reached = sent.end != call_end::not_sent && sent.end != call_end::unknown;
        if (reached) {
            selector_.mark_reachable(agent.incarnation);
        } else {
            selector_.mark_unreachable(agent.incarnation, std::chrono::steady_clock::now());
        }
        const bool stays_open = sent.end == call_end::unknown || sent.end == call_end::agent_lost ||
                                sent.end == call_end::caller_disconnected;
        if (!stays_open) {
            selector_.end_request(agent.incarnation);
        }
        log_routing(t, agent, sent);
        return sent;
    }

    /// Returns whether a run ended in a way that settles the request.
    static bool has_ended(const call_result& sent) {
        return sent.end == call_end::ended && sent.outcome.state != run_state::not_run;
    }

    /// Returns whether the ticket did not run and never will.
    static bool did_not_run(const call_result& sent) {
        return sent.end == call_end::refused || sent.end == call_end::not_sent || sent.end == call_end::ended;
    }

    /// Settles the reservation of a request whose run ended, and fills in `outcome`.
    void finish_attempt(const std::shared_ptr<Session>& session, const ticket& t, const agent_member& agent,
                        const call_result& sent, dispatch_result& outcome) {
        const billing_record record = make_billing_record(t, sent.outcome, false);
        failpoint("router_settle");
        if (sent.started_by_this_ticket) {
            session->settle(record, t.reserved);
        } else {
            session->release(t.budget, t.reserved);
        }
        outcome.ended = true;
        outcome.agent = agent.incarnation;
        outcome.outcome = sent.outcome;
        outcome.replayed = !sent.started_by_this_ticket;
        outcome.succeeded = sent.outcome.state == run_state::done && sent.output_kept;
        if (!outcome.succeeded) {
            outcome.error = incomplete_run_error(sent, agent);
        }
        const bool is_done = sent.outcome.state == run_state::done;
        requests_.record(t.request_id, {t.customer, is_done ? request_state::done : request_state::failed,
                                        agent.incarnation, t.attempt, record.billed, record.withheld,
                                        sent.outcome.message});
    }

    /// Fills in `outcome` for a run that another ticket started. The router that sent that ticket bills it.
    void finish_joined_run(const work_order& order, const agent_member& agent, const call_result& joined,
                           dispatch_result& outcome) {
        outcome.agent = agent.incarnation;
        outcome.replayed = true;
        outcome.caller_disconnected = joined.end == call_end::caller_disconnected;
        outcome.outcome = joined.outcome;
        outcome.ended = joined.end == call_end::ended;
        outcome.succeeded = outcome.ended && joined.outcome.state == run_state::done && joined.output_kept;
        if (!outcome.succeeded) {
            outcome.error = outcome.ended ? incomplete_run_error(joined, agent)
                                          : outcome_unknown_error(joined.message, agent.incarnation,
                                                                  order.work.idempotent);
        }
        const request_state state = outcome.succeeded ? request_state::done
                                    : outcome.ended   ? request_state::failed
                                                      : request_state::unknown;
        requests_.record(order.work.request_id,
                         {order.work.customer, state, agent.incarnation, 1, joined.outcome.used,
                          joined.outcome.withheld, joined.message});
    }

    /// Hands a ticket whose outcome is unknown to the settler, which takes over its reservation.
    void settle_later(unsettled_ticket<Session> open) { settler_.add(std::move(open)); }

    /// Records the state of the request, for `GET /v1/requests/<id>`.
    void record_state(const work_order& order, request_state state, const std::string& reason) {
        requests_.record(order.work.request_id, {order.work.customer, state, "", 0, 0, 0, reason});
    }

    void refresh_configuration() { calls_.refresh_configuration(); }
    const agent_caller& caller() const { return caller_; }
    const fleet_view& view() const { return view_; }

private:
    /// Returns `agents` in the order to try.
    std::vector<agent_member> order_by_preference(std::vector<agent_member> agents,
                                                  const work_order& order) const {
        return selector_.order_agents(std::move(agents), order.routing, order.has_caller_key,
                                      std::chrono::steady_clock::now());
    }

    /// Bills the whole reservation as soon as the ticket is sent. This is the fault that the failpoint
    /// "bill_at_send" injects to verify that the tests detect it.
    static void bill_worst_case(Session& session, const ticket& t) {
        run_outcome outcome;
        outcome.state = run_state::done;
        outcome.used = t.reserved;
        session.settle(make_billing_record(t, outcome, false), t.reserved);
    }

    /// Counts a refusal as false if the budget still has enough unspent tokens, or if the budget is
    /// unreachable, so that it may have enough.
    void count_false_refusal(Session& session, const work_order& order, const failure& cause) {
        if (cause.code == errc::budget_unreachable) {
            metrics_.count("false_refusals", {{"cause", "ledger_unreachable"}});
        }
        if (cause.code == errc::budget_exhausted &&
            session.ledger().unspent(order.work.budget) >= order.work.reserved) {
            metrics_.count("false_refusals", {{"cause", "held_elsewhere"}});
        }
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

    const configuration_holder& configurations_;
    const fleet_view& view_;
    agent_selector& selector_;
    request_table& requests_;
    const agent_caller& caller_;
    settler<Session>& settler_;
    metrics_registry& metrics_;
    router_calls calls_;
};

} // namespace eelgrassgw

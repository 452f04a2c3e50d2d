#pragma once

/// The process beside a backend server: the only door to it.

#include "eelgrassgw/agent/backend_adapter.h"
#include "eelgrassgw/agent/run_slots.h"
#include "eelgrassgw/base/failpoint.h"
#include "eelgrassgw/membership/agent_registration.h"
#include "eelgrassgw/membership/recent_requests.h"
#include "eelgrassgw/metrics/metrics.h"
#include "eelgrassgw/run/run_table.h"
#include "eelgrassgw/settings/process_settings.h"
#include "eelgrassgw/transport/fleet_peer.h"
#include "eelgrassgw/transport/http_server.h"

#include <atomic>
#include <thread>

namespace eelgrassgw {

/// Runs tickets at most once each, keeps their records until a journal has them, streams their output to
/// routers, and promises never to run what recovery has sealed. Serves from `start` until `stop`.
template <object_store Store, backend_adapter Backend>
class agent {
public:
    agent(Store& store, Backend& backend, const agent_settings& settings)
        : backend_(backend), settings_(settings), incarnation_(settings.common.name + "-" + random_id()),
          registration_(store, make_member()), memory_(store),
          runs_({settings.output_retention, settings.record_retention, 64U << 20U}),
          slots_(settings.max_running, settings.max_queued) {
        add_rpc_methods();
    }

    /// Starts to serve; tickets are refused until the registration is written.
    void start() {
        http_server_options options;
        options.address = settings_.common.listen.address;
        options.port = settings_.common.listen.port;
        options.max_threads = settings_.max_connections;
        options.max_body_bytes = 8U << 20U;
        server_ = std::make_unique<http_server>(
            options,
            [this](const http_request& request, http_exchange& exchange) { handle(request, exchange); });
        maintenance_ = std::thread([this] { maintain(); });
    }

    /// Ends admission, waits for the runs in flight and for their records to reach a journal, then closes.
    /// Returns whether nothing was left.
    bool stop() {
        runs_.start_draining();
        log("drain_started", {});
        (void)registration_.set_state(member_state::draining);
        const auto limit = std::chrono::steady_clock::now() + settings_.drain_limit;
        while ((!runs_.active().empty() || !runs_.all_journalled()) &&
               std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(poll_interval);
        }
        const bool clean = runs_.active().empty() && runs_.all_journalled() && leave_memory(limit);
        stopping_ = true;
        maintenance_.join();
        Json::Value fields;
        fields["clean"] = clean;
        log("drain_ended", fields);
        return clean;
    }

    const std::string& incarnation() const { return incarnation_; }

private:
    /// Writes down which requests ran here, then closes the entry. Tries until `limit`.
    bool leave_memory(steady_time limit) {
        for (;;) {
            const result<done> written = memory_.write(settings_.common.name, runs_.keyed_requests());
            failpoint("agent_memory_written");
            if (written && registration_.set_state(member_state::closed)) {
                return true;
            }
            if (std::chrono::steady_clock::now() >= limit) {
                return false;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }

    static constexpr std::chrono::milliseconds poll_interval{50};
    static constexpr std::chrono::milliseconds reader_wait{500};

    agent_member make_member() const {
        agent_member self;
        self.backend_server = settings_.common.name;
        self.incarnation = incarnation_;
        self.address = settings_.common.advertise;
        self.data_centre = settings_.common.data_centre;
        return self;
    }

    void handle(const http_request& request, http_exchange& exchange) {
        if (request.path == "/metrics") {
            answer_metrics(exchange);
        } else if (request.path == "/health") {
            exchange.send({registered_ ? 200 : 503, {}, registered_ ? "ok\n" : "not registered\n"});
        } else if (!has_valid_signature(request, settings_.common.fleet_key)) {
            refuse(exchange, 401, "unauthenticated", "the request does not carry the proof of the fleet key",
                   {});
        } else if (request.path == rpc_path) {
            exchange.send({200, {{"content-type", "application/json"}}, rpc_.answer(request.body)});
        } else if (request.path == "/tickets") {
            handle_ticket(request, exchange);
        } else if (request.path == "/runs") {
            handle_attach(request, exchange);
        } else {
            exchange.send({404, {}, ""});
        }
    }

    void answer_metrics(http_exchange& exchange) {
        metrics_.set("runs_running", slots_.running());
        metrics_.set("runs_queued", slots_.queued());
        metrics_.set("run_records", static_cast<double>(runs_.size()));
        exchange.send({200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text()});
    }

    /// Refuses a ticket. The status 409 says: it did not run, and this message will never make it run.
    void refuse(http_exchange& exchange, int status, const std::string& code, const std::string& message,
                std::chrono::milliseconds retry_after) {
        metrics_.count("ticket_refusals", {{"code", code}});
        Json::Value body;
        body["code"] = code;
        body["message"] = message;
        body["agent"] = incarnation_;
        body["retry_after_ms"] = Json::Int64(retry_after.count());
        exchange.send(json_response(status, body));
    }

    void handle_ticket(const http_request& request, http_exchange& exchange) {
        const result<Json::Value> body = parse_json(request.body);
        if (!body) {
            refuse(exchange, 409, "malformed", body.error().message, {});
            return;
        }
        const ticket t = ticket::from_json(body.value());
        if (!check_ticket(t, exchange)) {
            return;
        }
        const result<accepted_ticket> accepted = take_ticket(t);
        if (!accepted) {
            const bool full = accepted.failed_with(errc::overloaded);
            const auto wait =
                full ? slots_.promise_place(std::chrono::steady_clock::now()) : std::chrono::milliseconds(0);
            refuse(exchange, 409, code_of(accepted.error()), accepted.error().message, wait);
            log_ticket(t, "refused", accepted.error().message);
            return;
        }
        log_ticket(t, accepted.value().is_new ? "accepted" : "attached", "");
        failpoint("agent_ticket_accepted");
        stream_run(*accepted.value().the_run, 0, exchange);
    }

    /// Checks what the ticket says about both sides. Answers and returns false where it does not hold.
    bool check_ticket(const ticket& t, http_exchange& exchange) {
        if (t.agent != incarnation_) {
            refuse(exchange, 409, "agent_restarted",
                   "the ticket is for \"" + t.agent + "\", this is \"" + incarnation_ + "\"", {});
            return false;
        }
        if (!registered_ || fenced_) {
            refuse(exchange, 409, "not_registered", "this agent has no registration in force", poll_interval);
            return false;
        }
        const configuration_revision known = adopt_configuration(t);
        if (t.revision < known) {
            refuse(exchange, 409, "stale_configuration",
                   "the ticket has revision " + std::to_string(t.revision) + ", revision " +
                       std::to_string(known) + " is in force",
                   {});
            return false;
        }
        if (t.has_caller_key && !remembers_all_ && runs_.status(t.request_id).the_run == nullptr) {
            refuse(exchange, 409, "rebuilding",
                   "this agent does not yet know which requests ran here before it restarted", poll_interval);
            return false;
        }
        return check_router(t, exchange);
    }

    /// Takes over a newer revision and the limit that goes with it. Returns the revision in force.
    configuration_revision adopt_configuration(const ticket& t) {
        const std::lock_guard lock(mutex_);
        if (t.revision > revision_) {
            revision_ = t.revision;
            if (t.max_running > 0) {
                slots_.limit_running(t.max_running);
            }
        }
        return revision_;
    }

    bool check_router(const ticket& t, http_exchange& exchange) {
        const std::string& router = t.router;
        {
            const std::lock_guard lock(mutex_);
            if (admitted_routers_.contains(router) ||
                registration_.will_be_asked_about(t.router_registered_at)) {
                return true;
            }
        }
        const result<bool> live = registration_.is_live(router);
        if (!live) {
            refuse(exchange, 409, "router_unverified",
                   "router \"" + router + "\" cannot be looked up: " + live.error().text(), poll_interval);
            return false;
        }
        if (!live.value()) {
            runs_.seal(router);
            return true; // Refused by the run table, which knows the seal.
        }
        const std::lock_guard lock(mutex_);
        admitted_routers_.insert(router);
        return true;
    }

    static std::string code_of(const failure& f) {
        return f.code == errc::refused ? "barred" : f.code.message();
    }

    result<accepted_ticket> take_ticket(const ticket& t) {
        if (!slots_.enter_queue()) {
            const run_status known = runs_.status(t.request_id);
            if (known.the_run != nullptr) {
                return runs_.accept(t);
            }
            runs_.bar_nonce(t.nonce);
            return make_failure(errc::overloaded, "accept ticket", "", "the queue of this agent is full");
        }
        result<accepted_ticket> accepted = runs_.accept(t);
        if (!accepted || !accepted.value().is_new) {
            slots_.leave_queue();
            return accepted;
        }
        std::thread([this, the_run = accepted.value().the_run] { execute(*the_run); }).detach();
        return accepted;
    }

    void execute(run& r) {
        if (!slots_.wait_for_slot(r)) {
            run_outcome outcome;
            outcome.state = run_state::not_run;
            outcome.message = "no slot became free within the deadline";
            end_run(r, outcome);
            return;
        }
        const steady_time begin = std::chrono::steady_clock::now();
        r.mark_running();
        failpoint("agent_run_started");
        run_outcome outcome = backend_.execute(r, registration_.fencing_number());
        if (failpoint("agent_run_finished") == failpoint_action::error) {
            outcome.used = 0;
        }
        end_run(r, outcome);
        slots_.release(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin));
    }

    void end_run(run& r, const run_outcome& outcome) {
        if (outcome.used + outcome.withheld == 0) {
            r.mark_journalled(); // There is nothing to bill.
        }
        r.finish(outcome);
        metrics_.count("runs", {{"state", to_text(outcome.state)}});
        Json::Value fields = outcome.to_json();
        fields["request_id"] = r.work().request_id;
        log("run_ended", fields);
    }

    void handle_attach(const http_request& request, http_exchange& exchange) {
        const run_status status = runs_.status(request.parameter("id"));
        if (status.the_run == nullptr) {
            exchange.send({404, {}, ""});
            return;
        }
        const std::size_t offset = std::strtoull(request.parameter("offset").c_str(), nullptr, 10);
        stream_run(*status.the_run, offset, exchange);
    }

    /// Sends lines: "chunk" with output, "wait" while there is none, and last "end" with the outcome.
    void stream_run(run& r, std::size_t offset, http_exchange& exchange) {
        r.add_reader();
        bool reading = exchange.begin_stream(200, {{"content-type", "application/x-ndjson"}}) &&
                       exchange.write(accepted_line(r));
        while (reading) {
            const run_progress progress = r.wait(offset, reader_wait);
            Json::Value line;
            line["type"] = progress.at_end ? "end" : "wait";
            if (!progress.text.empty()) {
                Json::Value chunk;
                chunk["type"] = "chunk";
                chunk["offset"] = Json::UInt64(offset);
                chunk["text"] = progress.text;
                failpoint("agent_chunk");
                reading = exchange.write(to_text(chunk) + "\n");
                offset += progress.text.size();
            }
            if (progress.at_end) {
                line["length"] = Json::UInt64(r.output_size());
                line["output_kept"] = !r.output_dropped();
                line["outcome"] = progress.outcome.to_json();
                reading = reading && exchange.write(to_text(line) + "\n");
                failpoint("agent_end_sent");
                break;
            }
            if (reading && progress.text.empty()) {
                reading = exchange.write(to_text(line) + "\n");
            }
        }
        r.remove_reader();
        if (reading) {
            exchange.end_stream();
        }
    }

    std::string accepted_line(const run& r) const {
        Json::Value line;
        line["type"] = "accepted";
        line["agent"] = incarnation_;
        line["nonce"] = r.work().nonce;
        line["router"] = r.work().router;
        line["running"] = slots_.running();
        line["queued"] = slots_.queued();
        return to_text(line) + "\n";
    }

    void add_rpc_methods() {
        rpc_.add("seal", [this](const Json::Value& params) { return seal(params); });
        rpc_.add("status", [this](const Json::Value& params) {
            return describe(runs_.status(string_member(params, "request_id")));
        });
        rpc_.add("bar", [this](const Json::Value& params) {
            return describe(runs_.bar(string_member(params, "request_id"), string_member(params, "nonce")));
        });
        rpc_.add("journalled", [this](const Json::Value& params) { return mark_journalled(params); });
        rpc_.add("abandon", [this](const Json::Value& params) { return abandon(params); });
        rpc_.add("drain", [this](const Json::Value&) {
            leave("an operator ordered it");
            return Json::Value(Json::objectValue);
        });
        rpc_.add("describe", [this](const Json::Value&) { return describe_self(); });
    }

    /// Recovery's question: from now on nothing of the router runs here; what of it is not yet journalled?
    Json::Value seal(const Json::Value& params) {
        const std::string router = string_member(params, "router");
        if (failpoint("agent_seal") != failpoint_action::skip) {
            runs_.seal(router);
            const std::lock_guard lock(mutex_);
            admitted_routers_.erase(router);
        }
        Json::Value reply;
        reply["agent"] = incarnation_;
        reply["running"] = 0;
        reply["records"] = Json::arrayValue;
        for (const auto& entry : runs_.unjournalled(router)) {
            if (is_final(entry->outcome().state)) {
                reply["records"].append(record_of(*entry, incarnation_).to_json());
            } else {
                reply["running"] = reply["running"].asInt() + 1;
            }
        }
        Json::Value fields;
        fields["router"] = router;
        fields["running"] = reply["running"];
        fields["records"] = reply["records"].size();
        log("router_sealed", fields);
        return reply;
    }

    Json::Value describe(const run_status& status) const {
        Json::Value reply;
        reply["agent"] = incarnation_;
        reply["known"] = status.known;
        reply["barred"] = status.barred;
        reply["ran_before"] = status.ran_before;
        reply["remembers_all"] = remembers_all_.load();
        if (status.the_run != nullptr) {
            reply["router"] = status.the_run->work().router;
            reply["nonce"] = status.the_run->work().nonce;
            reply["customer"] = status.the_run->work().customer;
            reply["digest"] = status.the_run->work().digest;
            reply["outcome"] = status.the_run->outcome().to_json();
        }
        return reply;
    }

    Json::Value mark_journalled(const Json::Value& params) {
        runs_.mark_journalled(texts_of(member(params, "request_ids")));
        return Json::objectValue;
    }

    Json::Value abandon(const Json::Value& params) {
        const run_status status = runs_.status(string_member(params, "request_id"));
        if (status.the_run != nullptr) {
            stop_run(*status.the_run, "its caller is gone");
        }
        return describe(status);
    }

    Json::Value describe_self() {
        Json::Value reply;
        reply["agent"] = incarnation_;
        reply["draining"] = runs_.is_draining();
        reply["revision"] = Json::Int64(revision_);
        reply["running"] = slots_.running();
        reply["queued"] = slots_.queued();
        return reply;
    }

    void stop_run(run& r, const std::string& reason) {
        if (r.cancel_requested()) {
            return;
        }
        r.request_cancel();
        const std::string id = r.work().request_id + "." + std::to_string(r.work().attempt);
        (void)backend_.cancel(id, registration_.fencing_number());
        Json::Value fields;
        fields["request_id"] = r.work().request_id;
        fields["reason"] = reason;
        log("run_stopped", fields);
    }

    /// Registers, then watches over abandoned runs, retentions and the registration.
    void maintain() {
        steady_time next_check = std::chrono::steady_clock::now();
        while (!stopping_) {
            if (!registered_ && std::chrono::steady_clock::now() >= next_check) {
                try_to_register();
                next_check = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
            } else if (std::chrono::steady_clock::now() >= next_check) {
                check_registration();
                check_vm_list();
                watch_load();
                if (!remembers_all_) {
                    rebuild_memory();
                }
                next_check = std::chrono::steady_clock::now() + settings_.heartbeat_interval;
            }
            for (const auto& entry : runs_.active()) {
                if (entry->is_abandoned(settings_.resume_window)) {
                    stop_run(*entry, "nobody has read it for the resume window");
                }
            }
            runs_.expire(std::chrono::steady_clock::now());
            std::this_thread::sleep_for(poll_interval);
        }
    }

    void try_to_register() {
        failpoint("agent_before_register");
        const result<done> registered = registration_.register_now();
        if (!registered) {
            Json::Value fields;
            fields["reason"] = registered.error().text();
            log("registration_failed", fields);
            return;
        }
        const result<done> taken_over = backend_.take_over(registration_.fencing_number());
        if (!taken_over) {
            Json::Value fields;
            fields["reason"] = taken_over.error().text();
            log("take_over_failed", fields);
            return;
        }
        look_up_routers();
        registered_ = true;
        rebuild_memory();
        Json::Value fields;
        fields["fencing"] = Json::UInt64(registration_.fencing_number());
        log("registered", fields);
    }

    /// Looks all routers up at once, after the registration, so that an outage of the object API finds them
    /// known. One that is missed here is looked up with its first ticket.
    void look_up_routers() {
        const result<std::vector<router_member>> routers = registration_.routers();
        if (!routers) {
            return;
        }
        const std::lock_guard lock(mutex_);
        for (const router_member& router : routers.value()) {
            if (is_open(router.state)) {
                admitted_routers_.insert(router.incarnation);
            } else {
                runs_.seal(router.incarnation);
            }
        }
    }

    /// Learns which requests ran at this backend server, so that a repeated key is known although the
    /// predecessor's memory is gone. Until all have answered, tickets with a key are refused.
    void rebuild_memory() {
        const result<std::vector<std::string>> ids = memory_.collect(
            settings_.common.name, [this](const router_member& router) { return ask_router(router); });
        if (ids) {
            runs_.mark_ran_before(ids.value());
        }
        remembers_all_ = ids.ok();
        Json::Value fields;
        fields["complete"] = ids.ok();
        fields["reason"] = ids ? "" : ids.error().text();
        log("memory_rebuilt", fields);
    }

    /// The question carries this agent's entry: a router that answers it knows this agent from then on, so
    /// that no repeated key passes it by.
    result<std::vector<std::string>> ask_router(const router_member& router) {
        const agent_member self = registration_.self();
        Json::Value params;
        params["backend_server"] = self.backend_server;
        params["entry"] = self.to_text();
        params["version"] = Json::UInt64(self.version);
        return ask_recent_requests(router, settings_.common.fleet_key, params);
    }

    /// The backend server's own report, which lags: for people and alarms. Routing goes by the agent's
    /// counts, since no work reaches the backend server but through it.
    void watch_load() {
        const result<backend_load> load = backend_.load();
        if (load) {
            metrics_.set("backend_running", load.value().running);
            metrics_.set("backend_queued", load.value().queued);
        }
        metrics_.set("backend_reachable", load ? 1 : 0);
    }

    void check_vm_list() {
        if (!settings_.vm.empty() && !runs_.is_draining() && registration_.is_leaving(settings_.vm)) {
            leave("the platform's list says that the VM is leaving");
        }
    }

    /// Takes no new work from now on; what runs goes on.
    void leave(const std::string& reason) {
        runs_.start_draining();
        (void)registration_.set_state(member_state::draining);
        Json::Value fields;
        fields["reason"] = reason;
        log("leaving", fields);
    }

    void check_registration() {
        const result<done> own = registration_.check();
        if (own.failed_with(errc::fenced) && !fenced_.exchange(true)) {
            Json::Value fields;
            fields["reason"] = own.error().text();
            log("registration_lost", fields);
        }
    }

    void log(const char* event, Json::Value fields) const {
        fields["agent"] = incarnation_;
        log_event(log_level::info, event, std::move(fields));
    }

    void log_ticket(const ticket& t, const char* decision, const std::string& reason) const {
        Json::Value fields;
        fields["request_id"] = t.request_id;
        fields["router"] = t.router;
        fields["attempt"] = t.attempt;
        fields["reserved"] = Json::Int64(t.reserved);
        fields["decision"] = decision;
        fields["reason"] = reason;
        log("ticket", fields);
    }

    Backend& backend_;
    const agent_settings settings_;
    const std::string incarnation_;
    agent_registration<Store> registration_;
    request_memory<Store> memory_;
    run_table runs_;
    run_slots slots_;
    metrics_registry metrics_;
    rpc_dispatcher rpc_;
    std::mutex mutex_;
    std::set<std::string> admitted_routers_;
    std::atomic<configuration_revision> revision_{0};
    std::atomic<bool> registered_{false};
    std::atomic<bool> remembers_all_{false};
    std::atomic<bool> fenced_{false};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<http_server> server_;
    std::thread maintenance_;
};

} // namespace eelgrassgw

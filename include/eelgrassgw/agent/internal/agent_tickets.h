#pragma once

/// Member functions of `agent` that accept and run tickets and stream their output.

namespace eelgrassgw {

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::handle_request(const http_request& request, http_exchange& exchange) {
    if (request.path == "/metrics") {
        send_metrics(exchange);
    } else if (request.path == "/health") {
        exchange.send({registered_ ? 200 : 503, {}, registered_ ? "ok\n" : "not registered\n"});
    } else if (!has_valid_signature(request, settings_.common.fleet_key)) {
        send_refusal(exchange, 401, "unauthenticated",
                     "the request does not carry the proof of the fleet key", {});
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

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::send_metrics(http_exchange& exchange) {
    metrics_.set("runs_running", slots_.running());
    metrics_.set("runs_queued", slots_.queued());
    metrics_.set("run_records", static_cast<double>(runs_.size()));
    exchange.send({200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text()});
}

/// Refuses a request. Status 409 tells the router that this copy of the ticket did not run and never will.
template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::send_refusal(http_exchange& exchange, int status, const std::string& code,
                                         const std::string& message, std::chrono::milliseconds retry_after) {
    metrics_.count("ticket_refusals", {{"code", code}});
    Json::Value body;
    body["code"] = code;
    body["message"] = message;
    body["agent"] = incarnation_;
    body["retry_after_ms"] = Json::Int64(retry_after.count());
    exchange.send(json_response(status, body));
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::handle_ticket(const http_request& request, http_exchange& exchange) {
    const result<Json::Value> body = parse_json(request.body);
    if (!body) {
        send_refusal(exchange, 409, "malformed", body.error().message, {});
        return;
    }
    const ticket t = ticket::from_json(body.value());
    if (!check_ticket(t, exchange)) {
        return;
    }
    const result<accepted_ticket> accepted = accept_ticket(t);
    if (!accepted) {
        const bool queue_is_full = accepted.failed_with(errc::overloaded);
        const auto retry_after = queue_is_full ? slots_.reserve_retry_delay(std::chrono::steady_clock::now())
                                               : std::chrono::milliseconds(0);
        send_refusal(exchange, 409, refusal_code(accepted.error()), accepted.error().message, retry_after);
        log_ticket(t, "refused", accepted.error().message);
        return;
    }
    log_ticket(t, accepted.value().is_new ? "accepted" : "attached", "");
    failpoint("agent_ticket_accepted");
    stream_run(*accepted.value().run_ptr, 0, exchange);
}

/// Checks the agent, the router and the configuration revision that the ticket names, and whether this agent
/// is ready for it. If a check fails, sends a refusal and returns false.
template <object_store Store, backend_adapter Backend>
bool agent<Store, Backend>::check_ticket(const ticket& t, http_exchange& exchange) {
    if (t.agent != incarnation_) {
        send_refusal(exchange, 409, "agent_restarted",
                     "the ticket is for \"" + t.agent + "\", this is \"" + incarnation_ + "\"", {});
        return false;
    }
    if (!registered_ || fenced_) {
        send_refusal(exchange, 409, "not_registered", "this agent has no registration in force",
                     poll_interval);
        return false;
    }
    const configuration_revision known = adopt_configuration(t);
    if (t.revision < known) {
        send_refusal(exchange, 409, "stale_configuration",
                     "the ticket has revision " + std::to_string(t.revision) + ", revision " +
                         std::to_string(known) + " is in force",
                     {});
        return false;
    }
    if (t.has_caller_key && !wait_for_memory() && runs_.find_status(t.request_id).run_ptr == nullptr) {
        send_refusal(exchange, 409, "rebuilding",
                     "this agent does not yet know which requests ran here before it restarted",
                     poll_interval);
        return false;
    }
    return check_router(t, exchange);
}

/// Waits until this agent knows which requests ran here before it restarted, which takes a few milliseconds
/// after its registration. Returns whether it knows them.
template <object_store Store, backend_adapter Backend>
bool agent<Store, Backend>::wait_for_memory() const {
    const auto deadline = std::chrono::steady_clock::now() + max_memory_wait;
    while (!memory_is_complete_ && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(memory_poll_interval);
    }
    return memory_is_complete_;
}

/// Adopts the configuration revision of the ticket and its limit on running requests if the revision is
/// newer. Returns the current revision.
template <object_store Store, backend_adapter Backend>
configuration_revision agent<Store, Backend>::adopt_configuration(const ticket& t) {
    const std::lock_guard lock(mutex_);
    if (t.revision > revision_) {
        revision_ = t.revision;
        if (t.max_running > 0) {
            slots_.set_max_running(t.max_running);
        }
    }
    return revision_;
}

template <object_store Store, backend_adapter Backend>
bool agent<Store, Backend>::check_router(const ticket& t, http_exchange& exchange) {
    const std::string& router = t.router;
    {
        const std::lock_guard lock(mutex_);
        if (admitted_routers_.contains(router) ||
            registration_.recovery_will_query_agent(t.router_registered_at)) {
            return true;
        }
    }
    const result<bool> live = registration_.is_router_open(router);
    if (!live) {
        send_refusal(exchange, 409, "router_unverified",
                     "router \"" + router + "\" cannot be looked up: " + live.error().text(), poll_interval);
        return false;
    }
    if (!live.value()) {
        runs_.seal_router(router);
        return true; // The run table refuses the ticket, because the router is sealed.
    }
    const std::lock_guard lock(mutex_);
    admitted_routers_.insert(router);
    return true;
}

template <object_store Store, backend_adapter Backend>
std::string agent<Store, Backend>::refusal_code(const failure& f) {
    return f.code == errc::refused ? "barred" : f.code.message();
}

template <object_store Store, backend_adapter Backend>
result<accepted_ticket> agent<Store, Backend>::accept_ticket(const ticket& t) {
    if (!slots_.enter_queue()) {
        const run_status known = runs_.find_status(t.request_id);
        if (known.run_ptr != nullptr) {
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
    std::thread([this, run_ptr = accepted.value().run_ptr] { execute_run(*run_ptr); }).detach();
    return accepted;
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::execute_run(run& r) {
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

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::end_run(run& r, const run_outcome& outcome) {
    if (outcome.used + outcome.withheld == 0) {
        r.mark_journalled(); // A run without usage needs no billing record.
    }
    r.finish(outcome);
    metrics_.count("runs", {{"state", to_text(outcome.state)}});
    Json::Value fields = outcome.to_json();
    fields["request_id"] = r.assigned_ticket().request_id;
    log("run_ended", fields);
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::handle_attach(const http_request& request, http_exchange& exchange) {
    const run_status status = runs_.find_status(request.parameter("id"));
    if (status.run_ptr == nullptr) {
        exchange.send({404, {}, ""});
        return;
    }
    const std::size_t offset = std::strtoull(request.parameter("offset").c_str(), nullptr, 10);
    stream_run(*status.run_ptr, offset, exchange);
}

/// Streams the run as JSON lines: "chunk" carries output, "wait" is a keep-alive while there is no new
/// output, and the last line, "end", carries the outcome.
template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::stream_run(run& r, std::size_t offset, http_exchange& exchange) {
    r.add_reader();
    bool reader_connected = exchange.begin_stream(200, {{"content-type", "application/x-ndjson"}}) &&
                            exchange.write(accepted_line(r));
    while (reader_connected) {
        const run_progress progress = r.wait_for_output(offset, max_output_wait);
        Json::Value line;
        line["type"] = progress.at_end ? "end" : "wait";
        if (!progress.text.empty()) {
            Json::Value chunk;
            chunk["type"] = "chunk";
            chunk["offset"] = Json::UInt64(offset);
            chunk["text"] = progress.text;
            failpoint("agent_chunk");
            reader_connected = exchange.write(to_text(chunk) + "\n");
            offset += progress.text.size();
        }
        if (progress.at_end) {
            line["length"] = Json::UInt64(r.output_size());
            line["output_kept"] = !r.output_dropped();
            line["outcome"] = progress.outcome.to_json();
            reader_connected = reader_connected && exchange.write(to_text(line) + "\n");
            failpoint("agent_end_sent");
            break;
        }
        if (reader_connected && progress.text.empty()) {
            reader_connected = exchange.write(to_text(line) + "\n");
        }
    }
    r.remove_reader();
    if (reader_connected) {
        exchange.end_stream();
    }
}

template <object_store Store, backend_adapter Backend>
std::string agent<Store, Backend>::accepted_line(const run& r) const {
    Json::Value line;
    line["type"] = "accepted";
    line["agent"] = incarnation_;
    line["nonce"] = r.assigned_ticket().nonce;
    line["router"] = r.assigned_ticket().router;
    line["running"] = slots_.running();
    line["queued"] = slots_.queued();
    return to_text(line) + "\n";
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::log_ticket(const ticket& t, const char* decision,
                                       const std::string& reason) const {
    Json::Value fields;
    fields["request_id"] = t.request_id;
    fields["router"] = t.router;
    fields["attempt"] = t.attempt;
    fields["reserved"] = Json::Int64(t.reserved);
    fields["decision"] = decision;
    fields["reason"] = reason;
    log("ticket", fields);
}

} // namespace eelgrassgw

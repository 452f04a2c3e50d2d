#pragma once

/// Member functions of `agent` that start it, stop it and run in its background thread.

namespace eelgrassgw {

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::start() {
    http_server_options options;
    options.address = settings_.common.listen.address;
    options.port = settings_.common.listen.port;
    options.max_threads = settings_.max_connections;
    options.max_body_bytes = 8U << 20U;
    server_ =
        std::make_unique<http_server>(options, [this](const http_request& request, http_exchange& exchange) {
            handle_request(request, exchange);
        });
    maintenance_thread_ = std::thread([this] { run_maintenance(); });
}

template <object_store Store, backend_adapter Backend>
bool agent<Store, Backend>::stop() {
    runs_.start_draining();
    log("drain_started", {});
    (void)registration_.set_state(member_state::draining);
    const auto deadline = std::chrono::steady_clock::now() + settings_.drain_limit;
    while ((!runs_.active_runs().empty() || !runs_.all_journalled()) &&
           std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    const bool settled = runs_.active_runs().empty() && runs_.all_journalled();
    const bool holds_registration = registered_ && !fenced_;
    const bool clean = settled && (!holds_registration || store_memory_and_close(deadline));
    stopping_ = true;
    maintenance_thread_.join();
    Json::Value fields;
    fields["clean"] = clean;
    log("drain_ended", fields);
    return clean;
}

/// Stores the ids of the requests that ran here and then closes the registration entry. Retries until
/// `deadline` and returns whether both writes succeeded.
template <object_store Store, backend_adapter Backend>
bool agent<Store, Backend>::store_memory_and_close(steady_time deadline) {
    for (;;) {
        const result<done> written = memory_.write(settings_.common.name, runs_.caller_keyed_request_ids());
        failpoint("agent_memory_written");
        if (written && registration_.set_state(member_state::closed)) {
            return true;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

template <object_store Store, backend_adapter Backend>
agent_member agent<Store, Backend>::make_member() const {
    agent_member self;
    self.backend_server = settings_.common.name;
    self.incarnation = incarnation_;
    self.address = settings_.common.advertise;
    self.data_centre = settings_.common.data_centre;
    return self;
}

/// Registers the agent. Afterwards it cancels abandoned runs, deletes expired records and checks the
/// registration periodically.
template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::run_maintenance() {
    steady_time next_check = std::chrono::steady_clock::now();
    while (!stopping_) {
        if (!registered_ && std::chrono::steady_clock::now() >= next_check) {
            try_to_register();
            next_check = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
        } else if (std::chrono::steady_clock::now() >= next_check) {
            check_registration();
            check_vm_list();
            update_load_metrics();
            if (!memory_is_complete_) {
                rebuild_memory();
            }
            next_check = std::chrono::steady_clock::now() + settings_.heartbeat_interval;
        }
        for (const auto& entry : runs_.active_runs()) {
            if (entry->is_abandoned(settings_.resume_window)) {
                stop_run(*entry, "no router has read its output for the resume window");
            }
        }
        runs_.expire(std::chrono::steady_clock::now());
        std::this_thread::sleep_for(poll_interval);
    }
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::try_to_register() {
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

/// Looks up all routers right after the registration, so that their tickets can be accepted during a later
/// outage of the object API. A router that is missed here is looked up when its first ticket arrives.
template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::look_up_routers() {
    const result<std::vector<router_member>> routers = registration_.routers();
    if (!routers) {
        return;
    }
    const std::lock_guard lock(mutex_);
    for (const router_member& router : routers.value()) {
        if (is_open(router.state)) {
            admitted_routers_.insert(router.incarnation);
        } else {
            runs_.seal_router(router.incarnation);
        }
    }
}

/// Collects the ids of the requests that ran at this backend server, because the previous agent process lost
/// its in-memory records. Without them, a request with a repeated idempotency key could run twice. The agent
/// refuses new requests with a key until the collection is complete.
template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::rebuild_memory() {
    const result<std::vector<std::string>> ids = memory_.collect(
        settings_.common.name, [this](const router_member& router) { return query_router(router); });
    if (ids) {
        runs_.mark_ran_before(ids.value());
    }
    memory_is_complete_ = ids.ok();
    Json::Value fields;
    fields["complete"] = ids.ok();
    fields["reason"] = ids ? "" : ids.error().text();
    log("memory_rebuilt", fields);
}

/// Asks `router` for its recent requests. The call carries this agent's registration entry, so that a router
/// that replies knows this agent and routes repeated keys to it.
template <object_store Store, backend_adapter Backend>
result<std::vector<std::string>> agent<Store, Backend>::query_router(const router_member& router) {
    const agent_member self = registration_.self();
    Json::Value params;
    params["backend_server"] = self.backend_server;
    params["entry"] = self.to_text();
    params["version"] = Json::UInt64(self.version);
    return ask_recent_requests(router, settings_.common.fleet_key, params);
}

/// Exports the load that the backend server reports, for dashboards and alarms. Routing uses the agent's own
/// counts instead, because the report lags and all requests pass through the agent.
template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::update_load_metrics() {
    const result<backend_load> load = backend_.query_load();
    if (load) {
        metrics_.set("backend_running", load.value().running);
        metrics_.set("backend_queued", load.value().queued);
    }
    metrics_.set("backend_reachable", load ? 1 : 0);
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::check_vm_list() {
    if (!settings_.vm.empty() && !runs_.is_draining() && registration_.is_vm_leaving(settings_.vm)) {
        begin_drain("the platform lists the VM as leaving");
    }
}

/// Stops accepting new tickets. Runs that have already started continue.
template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::begin_drain(const std::string& reason) {
    runs_.start_draining();
    (void)registration_.set_state(member_state::draining);
    Json::Value fields;
    fields["reason"] = reason;
    log("leaving", fields);
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::check_registration() {
    const result<done> own = registration_.check_entry();
    if (own.failed_with(errc::fenced) && !fenced_.exchange(true)) {
        Json::Value fields;
        fields["reason"] = own.error().text();
        log("registration_lost", fields);
    }
}

template <object_store Store, backend_adapter Backend>
void agent<Store, Backend>::log(const char* event, Json::Value fields) const {
    fields["agent"] = incarnation_;
    log_event(log_level::info, event, std::move(fields));
}

} // namespace eelgrassgw

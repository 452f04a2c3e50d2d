#pragma once

/// Member functions of `router` for startup, shutdown and background threads.

namespace eelgrassgw {

template <object_store Store>
router<Store>::router(Store& store, const router_settings& settings)
    : store_(store), settings_(settings),
      caller_(settings.common.fleet_key, settings.resolve_limit,
              [this](const std::string& agent) { return view_.has_closed(agent); }),
      departed_agents_(store), settler_(caller_, view_, selector_, requests_),
      attempts_(configurations_, view_, selector_, requests_, caller_, settler_, metrics_,
                make_router_calls()),
      dispatcher_(attempts_, settings.max_attempts),
      claimed_dispatcher_(store, attempts_, settings.max_attempts) {
    add_rpc_methods();
}

template <object_store Store>
router_calls router<Store>::make_router_calls() {
    router_calls calls;
    calls.refresh_configuration = [this] {
        refresh_configuration();
    };
    calls.reclaim_allowance = [this](const std::string& budget, tokens amount) {
        return reclaim_allowance(budget, amount);
    };
    calls.may_have_run_at = [this](const agent_member& closed, const std::string& request_id) {
        return departed_agents_.may_have_run(closed, request_id);
    };
    return calls;
}

template <object_store Store>
void router<Store>::start() {
    http_server_options options;
    options.address = settings_.common.listen.address;
    options.port = settings_.common.listen.port;
    options.max_threads = settings_.max_connections;
    options.max_body_bytes = settings_.max_body_bytes;
    const auto ignore_failure = [](const failure&) {
    };
    agents_watcher_ = std::make_unique<prefix_watcher<Store>>(
        store_, agents_prefix, [this](const object_changes& changes) { view_.apply_agent_changes(changes); },
        ignore_failure);
    routers_watcher_ = std::make_unique<prefix_watcher<Store>>(
        store_, routers_prefix,
        [this](const object_changes& changes) { view_.apply_router_changes(changes); }, ignore_failure);
    follower_ = std::make_unique<configuration_follower<Store>>(store_, configurations_,
                                                                [this] { ask_peers_for_configuration(); });
    server_ =
        std::make_unique<http_server>(options, [this](const http_request& request, http_exchange& exchange) {
            handle_request(request, exchange);
        });
    if (settings_.tls) {
        options.address = settings_.tls->listen.address;
        options.port = settings_.tls->listen.port;
        options.certificate_file = settings_.tls->certificate_file;
        options.private_key_file = settings_.tls->private_key_file;
        tls_server_ = std::make_unique<http_server>(
            options, [this](const http_request& request, http_exchange& exchange) {
                const internal::in_flight_guard guard(in_flight_);
                handle_caller(request, exchange);
            });
    }
    maintenance_ = std::thread([this] { run_maintenance(); });
    recovery_ = std::thread([this] { recover_others(); });
    notification_ = std::thread([this] { notify_agents(); });
}

template <object_store Store>
bool router<Store>::stop() {
    draining_ = true;
    log("drain_started", {});
    const steady_time drain_deadline = std::chrono::steady_clock::now() + settings_.drain_limit;
    const std::shared_ptr<session> own_session = current_session();
    if (own_session != nullptr) {
        (void)own_session->registration().set_state(member_state::draining);
    }
    while ((in_flight_ > 0 || settler_.size() > 0) && std::chrono::steady_clock::now() < drain_deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    bool is_clean = in_flight_ == 0 && settler_.size() == 0;
    if (own_session != nullptr && !own_session->is_fenced()) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            drain_deadline - std::chrono::steady_clock::now());
        is_clean = is_clean && own_session->journal().flush(std::max(left, std::chrono::milliseconds(1000)));
        is_clean = is_clean && own_session->ledger().fold_all().ok() && own_session->ledger().close().ok() &&
                   own_session->journal().seal().ok();
        is_clean = is_clean && own_session->registration().set_state(member_state::closed).ok();
        if (is_clean) {
            own_session->registration().remove_heartbeat();
        }
    }
    while (has_pending_notices() && std::chrono::steady_clock::now() < drain_deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    stopping_ = true;
    maintenance_.join();
    recovery_.join();
    notification_.join();
    Json::Value fields;
    fields["clean"] = is_clean;
    log("drain_ended", fields);
    return is_clean;
}

template <object_store Store>
std::shared_ptr<typename router<Store>::session> router<Store>::current_session() const {
    const std::lock_guard lock(mutex_);
    return session_;
}

/// Opens a session with a new incarnation. Returns null if no configuration is known or the object API is
/// unreachable.
template <object_store Store>
std::shared_ptr<typename router<Store>::session> router<Store>::open_session() {
    const std::shared_ptr<const configuration> config = configurations_.current();
    if (config == nullptr) {
        return nullptr;
    }
    demand_policy policy;
    policy.horizon = settings_.grant_horizon;
    policy.smallest_grant = settings_.smallest_grant;
    auto opened =
        std::make_shared<session>(store_, settings_, view_, config->ledger_shards(), policy,
                                  [this](const journal_segment& segment) { queue_journalled(segment); });
    const result<done> registered = opened->registration().register_now();
    Json::Value fields;
    fields["incarnation"] = opened->incarnation();
    const result<done> ready = registered ? load_all_agents() : registered;
    if (!ready || !opened->registration().write_heartbeat()) {
        fields["reason"] = ready ? "no heartbeat could be written" : ready.error().text();
        log("registration_failed", fields);
        return nullptr;
    }
    log("registered", fields);
    return opened;
}

/// Loads all registered agents before this router serves its first request. An agent that registered earlier
/// than this router did not ask it for recent requests. If the router did not know such an agent, a request
/// with a repeated key could be routed past it and run twice.
template <object_store Store>
result<done> router<Store>::load_all_agents() {
    const result<object_changes> agents = store_.list(agents_prefix);
    if (!agents) {
        return agents.error();
    }
    view_.apply_agent_changes(agents.value());
    return done{};
}

template <object_store Store>
void router<Store>::run_maintenance() {
    steady_time next_heartbeat{};
    steady_time next_fold = std::chrono::steady_clock::now() + settings_.fold_interval;
    while (!stopping_) {
        replace_fenced_session();
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= next_heartbeat) {
            write_heartbeat();
            next_heartbeat = now + settings_.heartbeat_interval;
        }
        if (now >= next_fold && !draining_) {
            maintain_allowances();
            next_fold = now + settings_.fold_interval;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

template <object_store Store>
void router<Store>::replace_fenced_session() {
    const std::shared_ptr<session> own_session = current_session();
    if ((own_session != nullptr && !own_session->is_fenced()) || draining_) {
        return;
    }
    std::shared_ptr<session> opened = open_session();
    if (opened != nullptr) {
        const std::lock_guard lock(mutex_);
        session_ = std::move(opened);
    }
}

template <object_store Store>
void router<Store>::write_heartbeat() {
    const std::shared_ptr<session> own_session = current_session();
    if (own_session != nullptr && own_session->registration().write_heartbeat().failed_with(errc::fenced)) {
        own_session->mark_fenced();
    }
}

template <object_store Store>
void router<Store>::maintain_allowances() {
    const std::shared_ptr<session> own_session = current_session();
    if (own_session == nullptr || own_session->is_fenced()) {
        return;
    }
    if (own_session->ledger().fold_all().failed_with(errc::fenced)) {
        own_session->mark_fenced();
        return;
    }
    return_idle_allowances(*own_session);
    acknowledge_lost_agents(*own_session);
}

template <object_store Store>
void router<Store>::return_idle_allowances(session& own_session) {
    const steady_time now = std::chrono::steady_clock::now();
    for (const std::string& budget : own_session.book().budgets()) {
        const tokens idle = own_session.book().idle_tokens(budget, settings_.grant_horizon,
                                                           now - settings_.idle_return_after, now);
        if (idle > 0) {
            (void)own_session.ledger().give_back(budget, idle);
        }
    }
}

/// Records in the journal that this incarnation has no unsettled ticket at a lost agent, for a later
/// recovery.
template <object_store Store>
void router<Store>::acknowledge_lost_agents(session& own_session) {
    for (const agent_member& agent : view_.agents()) {
        for (const lost_incarnation& lost : agent.lost_incarnations) {
            const std::string mark = own_session.incarnation() + " " + lost.incarnation;
            if (selector_.in_flight(lost.incarnation) == 0 && acknowledged_lost_agents_.insert(mark).second) {
                own_session.journal().add_lost_agent(lost.incarnation);
            }
        }
    }
}

template <object_store Store>
std::vector<std::string> router<Store>::open_incarnations() const {
    std::vector<std::string> open;
    for (const router_member& member : view_.routers()) {
        if (member.state == member_state::live || member.state == member_state::draining) {
            open.push_back(member.incarnation);
        }
    }
    return open;
}

/// Recovers routers whose heartbeat stopped and earlier incarnations of this router, and completes recoveries
/// that other routers began.
template <object_store Store>
void router<Store>::recover_others() {
    failure_detector<Store> detector(store_, settings_.suspect_after);
    const std::chrono::milliseconds check_interval = settings_.heartbeat_interval / 2;
    steady_time next_check{};
    steady_time next_sweep =
        std::chrono::steady_clock::now() + heartbeats_per_sweep * settings_.heartbeat_interval;
    while (!stopping_) {
        std::this_thread::sleep_for(std::min(check_interval, std::chrono::milliseconds(500)));
        const std::shared_ptr<session> own_session = current_session();
        if (own_session == nullptr || draining_) {
            continue;
        }
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= next_sweep) {
            release_stray_allowances();
            next_sweep = now + heartbeats_per_sweep * settings_.heartbeat_interval;
        }
        if (now >= next_check) { // Each check reads the heartbeats of the watched routers.
            next_check = now + check_interval;
            for (const std::string& suspect : detector.find_suspects(
                     ring_successors(own_session->incarnation(), open_incarnations(), watched_router_count),
                     now)) {
                recover(suspect);
            }
        }
        for (const router_member& member : view_.routers()) {
            const bool is_earlier_incarnation =
                member.name == settings_.common.name && member.incarnation != own_session->incarnation();
            const bool is_open = member.state != member_state::closed;
            if (member.state == member_state::sealed || (is_earlier_incarnation && is_open)) {
                recover(member.incarnation);
            }
        }
    }
}

template <object_store Store>
void router<Store>::recover(const std::string& incarnation) {
    const std::shared_ptr<const configuration> config = configurations_.current();
    if (config == nullptr) {
        return;
    }
    recoverer<Store> recovery(store_, make_agent_calls(), config->ledger_shards());
    const result<recovery_progress> progress = recovery.recover(incarnation);
    metrics_.count("recoveries", {{"outcome", !progress                   ? "failed"
                                              : progress.value().finished ? "finished"
                                                                          : "waiting"}});
    if (!progress && !progress.failed_with(errc::not_found)) {
        Json::Value fields;
        fields["router"] = incarnation;
        fields["reason"] = progress.error().text();
        log("recovery_failed", fields);
    }
}

template <object_store Store>
agent_calls router<Store>::make_agent_calls() const {
    agent_calls calls;
    calls.seal = [this](const agent_member& agent, const std::string& dead_router) -> result<seal_answer> {
        Json::Value params;
        params["router"] = dead_router;
        const result<Json::Value> reply =
            call_peer(agent.address, settings_.common.fleet_key, "seal", params, http_timeouts{});
        if (!reply) {
            return reply.error();
        }
        seal_answer answer;
        answer.agent = string_member(reply.value(), "agent");
        answer.unfinished_runs = static_cast<int>(int_member(reply.value(), "running"));
        for (const Json::Value& record : member(reply.value(), "records")) {
            answer.records.push_back(billing_record::from_json(record));
        }
        return answer;
    };
    calls.mark_journalled = [this](const agent_member& agent, const std::vector<std::string>& ids) {
        return caller_.notify_journalled(agent, ids);
    };
    return calls;
}

template <object_store Store>
void router<Store>::queue_journalled(const journal_segment& segment) {
    const std::lock_guard lock(mutex_);
    for (const billing_record& record : segment.records) {
        pending_notices_[record.agent].push_back(record.request_id);
    }
}

/// Tells agents which billing records are in the journal, and repeats each notice until the agent confirms
/// it.
template <object_store Store>
void router<Store>::notify_agents() {
    while (!stopping_) {
        std::map<std::string, std::vector<std::string>> round;
        {
            const std::lock_guard lock(mutex_);
            round = pending_notices_;
        }
        for (const auto& [agent, ids] : round) {
            failpoint("notice_before_send");
            if (!try_to_notify(agent, ids)) {
                continue;
            }
            const std::lock_guard lock(mutex_);
            std::vector<std::string>& left = pending_notices_[agent];
            left.erase(left.begin(), left.begin() + static_cast<std::ptrdiff_t>(ids.size()));
            if (left.empty()) {
                pending_notices_.erase(agent);
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

/// Notifies the agent if it is still registered. Returns whether the notice is no longer needed, because the
/// agent confirmed it or has shut down.
template <object_store Store>
bool router<Store>::try_to_notify(const std::string& agent_incarnation,
                                  const std::vector<std::string>& request_ids) {
    const std::optional<agent_member> agent = view_.find_agent_incarnation(agent_incarnation);
    return !agent || agent->state == member_state::closed || caller_.notify_journalled(*agent, request_ids);
}

template <object_store Store>
bool router<Store>::has_pending_notices() const {
    const std::lock_guard lock(mutex_);
    return !pending_notices_.empty();
}

/// Releases allowances that a fenced router took after its recovery had ended. Only the router with the
/// smallest incarnation name in the fleet does this.
template <object_store Store>
void router<Store>::release_stray_allowances() {
    const std::shared_ptr<const configuration> config = configurations_.current();
    const std::shared_ptr<session> own_session = current_session();
    const std::vector<std::string> open = open_incarnations();
    if (config == nullptr || own_session == nullptr || open.empty() ||
        *std::min_element(open.begin(), open.end()) != own_session->incarnation()) {
        return;
    }
    recoverer<Store> recovery(store_, make_agent_calls(), config->ledger_shards());
    const result<std::size_t> released = recovery.release_orphaned_holders();
    if (released && released.value() > 0) {
        Json::Value fields;
        fields["holders"] = Json::UInt64(released.value());
        log("stray_allowances_released", fields);
    }
}

template <object_store Store>
void router<Store>::log(const char* event, Json::Value fields) const {
    fields["router"] = settings_.common.name;
    log_event(log_level::info, event, std::move(fields));
}

} // namespace eelgrassgw

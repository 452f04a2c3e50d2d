#pragma once

/// Member functions of `router` that run beside the callers' requests.

namespace eelgrassgw {

template <object_store Store>
router<Store>::router(Store& store, const router_settings& settings)
    : store_(store), settings_(settings),
      caller_(settings.common.fleet_key, settings.resolve_limit,
              [this](const std::string& agent) { return view_.has_closed(agent); }),
      departed_(store), late_(caller_, view_, selector_, requests_),
      attempts_(configurations_, view_, selector_, requests_, caller_, late_, metrics_, make_router_port()),
      dispatcher_(attempts_, settings.max_attempts), claimed_(store, attempts_, settings.max_attempts) {
    add_rpc_methods();
}

template <object_store Store>
router_port router<Store>::make_router_port() {
    router_port port;
    port.refresh_configuration = [this] {
        refresh_configuration();
    };
    port.reclaim = [this](const std::string& budget, tokens amount) {
        return reclaim(budget, amount);
    };
    port.may_have_run_at = [this](const agent_member& closed, const std::string& request_id) {
        return departed_.may_have_run(closed, request_id);
    };
    return port;
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
    server_ = std::make_unique<http_server>(
        options, [this](const http_request& request, http_exchange& exchange) { handle(request, exchange); });
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
    maintenance_ = std::thread([this] { maintain(); });
    recovery_ = std::thread([this] { recover_others(); });
    notification_ = std::thread([this] { notify_agents(); });
}

template <object_store Store>
bool router<Store>::stop() {
    draining_ = true;
    log("drain_started", {});
    const steady_time limit = std::chrono::steady_clock::now() + settings_.drain_limit;
    const std::shared_ptr<session> own = current_session();
    if (own != nullptr) {
        (void)own->registration().set_state(member_state::draining);
    }
    while ((in_flight_ > 0 || late_.size() > 0) && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(poll_interval);
    }
    bool clean = in_flight_ == 0 && late_.size() == 0;
    if (own != nullptr && !own->is_fenced()) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(limit - std::chrono::steady_clock::now());
        clean = clean && own->journal().flush(std::max(left, std::chrono::milliseconds(1000)));
        clean = clean && own->ledger().fold_all().ok() && own->ledger().close().ok() &&
                own->journal().seal().ok();
        clean = clean && own->registration().set_state(member_state::closed).ok();
        if (clean) {
            own->registration().remove_heartbeat();
        }
    }
    while (has_notices() && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(poll_interval);
    }
    stopping_ = true;
    maintenance_.join();
    recovery_.join();
    notification_.join();
    Json::Value fields;
    fields["clean"] = clean;
    log("drain_ended", fields);
    return clean;
}

template <object_store Store>
std::shared_ptr<typename router<Store>::session> router<Store>::current_session() const {
    const std::lock_guard lock(mutex_);
    return session_;
}

/// Opens a new incarnation. Null where no configuration is known or the object API cannot be asked.
template <object_store Store>
std::shared_ptr<typename router<Store>::session> router<Store>::open_session() {
    const std::shared_ptr<const configuration> in_force = configurations_.current();
    if (in_force == nullptr) {
        return nullptr;
    }
    demand_policy policy;
    policy.horizon = settings_.grant_horizon;
    policy.smallest_grant = settings_.smallest_grant;
    auto opened =
        std::make_shared<session>(store_, settings_, view_, in_force->ledger_shards(), policy,
                                  [this](const journal_segment& segment) { queue_journalled(segment); });
    const result<done> registered = opened->registration().register_now();
    Json::Value fields;
    fields["incarnation"] = opened->incarnation();
    const result<done> ready = registered ? see_all_agents() : registered;
    if (!ready || !opened->registration().write_heartbeat()) {
        fields["reason"] = ready ? "no heartbeat could be written" : ready.error().text();
        log("registration_failed", fields);
        return nullptr;
    }
    log("registered", fields);
    return opened;
}

/// An agent that registered before this router did has not asked it which requests it remembers: so this
/// router has to know that agent before it serves, or a repeated key could pass it by.
template <object_store Store>
result<done> router<Store>::see_all_agents() {
    const result<object_changes> agents = store_.list(agents_prefix);
    if (!agents) {
        return agents.error();
    }
    view_.apply_agent_changes(agents.value());
    return done{};
}

template <object_store Store>
void router<Store>::maintain() {
    steady_time next_beat{};
    steady_time next_fold = std::chrono::steady_clock::now() + settings_.fold_interval;
    while (!stopping_) {
        replace_fenced_session();
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= next_beat) {
            beat();
            next_beat = now + settings_.heartbeat_interval;
        }
        if (now >= next_fold && !draining_) {
            fold_and_return();
            next_fold = now + settings_.fold_interval;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

template <object_store Store>
void router<Store>::replace_fenced_session() {
    const std::shared_ptr<session> own = current_session();
    if ((own != nullptr && !own->is_fenced()) || draining_) {
        return;
    }
    std::shared_ptr<session> opened = open_session();
    if (opened != nullptr) {
        const std::lock_guard lock(mutex_);
        session_ = std::move(opened);
    }
}

template <object_store Store>
void router<Store>::beat() {
    const std::shared_ptr<session> own = current_session();
    if (own != nullptr && own->registration().write_heartbeat().failed_with(errc::fenced)) {
        own->mark_fenced();
    }
}

template <object_store Store>
void router<Store>::fold_and_return() {
    const std::shared_ptr<session> own = current_session();
    if (own == nullptr || own->is_fenced()) {
        return;
    }
    if (own->ledger().fold_all().failed_with(errc::fenced)) {
        own->mark_fenced();
        return;
    }
    return_idle_allowances(*own);
    acknowledge_lost_agents(*own);
}

template <object_store Store>
void router<Store>::return_idle_allowances(session& own) {
    const steady_time now = std::chrono::steady_clock::now();
    for (const std::string& budget : own.book().budgets()) {
        const tokens idle =
            own.book().idle_tokens(budget, settings_.grant_horizon, now - settings_.idle_return_after, now);
        if (idle > 0) {
            (void)own.ledger().give_back(budget, idle);
        }
    }
}

/// Tells later recoverers that nothing of this incarnation is open at an agent that was lost.
template <object_store Store>
void router<Store>::acknowledge_lost_agents(session& own) {
    for (const agent_member& agent : view_.agents()) {
        for (const lost_incarnation& lost : agent.lost_incarnations) {
            const std::string mark = own.incarnation() + " " + lost.incarnation;
            if (selector_.in_flight(lost.incarnation) == 0 && acknowledged_lost_.insert(mark).second) {
                own.journal().add_lost_agent(lost.incarnation);
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

/// Recovers routers whose heartbeat stopped, earlier incarnations of this router, and what others began.
template <object_store Store>
void router<Store>::recover_others() {
    failure_detector<Store> detector(store_, settings_.suspect_after);
    const std::chrono::milliseconds between_looks = settings_.heartbeat_interval / 2;
    steady_time next_look{};
    steady_time next_sweep = std::chrono::steady_clock::now() + sweep_every * settings_.heartbeat_interval;
    while (!stopping_) {
        std::this_thread::sleep_for(std::min(between_looks, std::chrono::milliseconds(500)));
        const std::shared_ptr<session> own = current_session();
        if (own == nullptr || draining_) {
            continue;
        }
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= next_sweep) {
            release_strays();
            next_sweep = now + sweep_every * settings_.heartbeat_interval;
        }
        if (now >= next_look) { // Each look reads the heartbeats of the watched routers.
            next_look = now + between_looks;
            for (const std::string& suspect : detector.find_suspects(
                     ring_successors(own->incarnation(), open_incarnations(), watched_routers), now)) {
                recover(suspect);
            }
        }
        for (const router_member& member : view_.routers()) {
            const bool is_own_past =
                member.name == settings_.common.name && member.incarnation != own->incarnation();
            const bool is_open = member.state != member_state::closed;
            if (member.state == member_state::sealed || (is_own_past && is_open)) {
                recover(member.incarnation);
            }
        }
    }
}

template <object_store Store>
void router<Store>::recover(const std::string& incarnation) {
    const std::shared_ptr<const configuration> in_force = configurations_.current();
    if (in_force == nullptr) {
        return;
    }
    recoverer<Store> recovery(store_, make_agent_port(), in_force->ledger_shards());
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
agent_calls router<Store>::make_agent_port() const {
    agent_calls port;
    port.seal = [this](const agent_member& agent, const std::string& dead) -> result<seal_answer> {
        Json::Value params;
        params["router"] = dead;
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
    port.mark_journalled = [this](const agent_member& agent, const std::vector<std::string>& ids) {
        return caller_.tell_journalled(agent, ids);
    };
    return port;
}

template <object_store Store>
void router<Store>::queue_journalled(const journal_segment& segment) {
    const std::lock_guard lock(mutex_);
    for (const billing_record& record : segment.records) {
        notices_[record.agent].push_back(record.request_id);
    }
}

/// Tells agents which records they need not keep any more, until they have heard it.
template <object_store Store>
void router<Store>::notify_agents() {
    while (!stopping_) {
        std::map<std::string, std::vector<std::string>> round;
        {
            const std::lock_guard lock(mutex_);
            round = notices_;
        }
        for (const auto& [agent, ids] : round) {
            failpoint("notice_before_send");
            if (!is_told(agent, ids)) {
                continue;
            }
            const std::lock_guard lock(mutex_);
            std::vector<std::string>& left = notices_[agent];
            left.erase(left.begin(), left.begin() + static_cast<std::ptrdiff_t>(ids.size()));
            if (left.empty()) {
                notices_.erase(agent);
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

/// Whether nothing is left to tell: the agent has heard, or it is gone.
template <object_store Store>
bool router<Store>::is_told(const std::string& agent_incarnation,
                            const std::vector<std::string>& request_ids) {
    const std::optional<agent_member> agent = view_.find_agent_incarnation(agent_incarnation);
    return !agent || agent->state == member_state::closed || caller_.tell_journalled(*agent, request_ids);
}

template <object_store Store>
bool router<Store>::has_notices() const {
    const std::lock_guard lock(mutex_);
    return !notices_.empty();
}

/// One router of the fleet looks for allowances that a fenced router took after its recovery had ended.
template <object_store Store>
void router<Store>::release_strays() {
    const std::shared_ptr<const configuration> in_force = configurations_.current();
    const std::shared_ptr<session> own = current_session();
    const std::vector<std::string> open = open_incarnations();
    if (in_force == nullptr || own == nullptr || open.empty() ||
        *std::min_element(open.begin(), open.end()) != own->incarnation()) {
        return;
    }
    recoverer<Store> recovery(store_, make_agent_port(), in_force->ledger_shards());
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

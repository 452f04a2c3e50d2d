#pragma once

/// The router process: accepts callers' connections, forwards their requests to backend servers, and follows
/// the configuration in the platform's store.

#include "budgets/ledger_writer.h"
#include "gateway/caller_session.h"
#include "gateway/gateway_settings.h"
#include "net/address.h"
#include "net/http_service.h"
#include "net/metrics_service.h"
#include "quarantine/quarantine_sync.h"
#include "relay/ledger_client.h"
#include "relay/relay_protocol.h"
#include "store/object_follower.h"
#include "store/store_paths.h"

#include <boost/asio/signal_set.hpp>

#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Requirements on a platform adapter: it supplies the request protocol, the clients of the platform's store,
/// and the decoders of the platform's documents.
template <class T>
concept gateway_platform = caller_protocol<typename T::protocol> && followable_store<typename T::objects> &&
    writable_store<typename T::objects> && ledger_store<typename T::budgets> &&
    requires(const Json::Value& document, const std::string& name,
             typename T::configuration_decoder decoder) {
    { decoder.decode(name, 0U) } -> std::same_as<result<std::shared_ptr<const fleet_configuration>>>;
    { T::decode_backend_server(name, document) } -> std::same_as<result<backend_server>>;
    { T::configuration_kind } -> std::convertible_to<std::string>;
    { T::configuration_name } -> std::convertible_to<std::string>;
    { T::backend_server_kind } -> std::convertible_to<std::string>;
    { T::evacuation_kind } -> std::convertible_to<std::string>;
    { T::quarantine_kind } -> std::convertible_to<std::string>;
    { T::quarantine_name } -> std::convertible_to<std::string>;
    { T::readiness_path } -> std::convertible_to<std::string>;
};

/// Routes requests from `start` until `stop` has finished. Not thread-safe: all tasks run on one thread.
template <gateway_platform Platform>
class gateway {
public:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;
    using ledger_writer_type = ledger_writer<typename Platform::budgets>;
    using ledger_client_type = ledger_client<ledger_writer_type>;
    using budget_keeper_type = budget_keeper<ledger_client_type>;
    using core = gateway_core<typename Platform::protocol, budget_keeper_type>;

    /// Time between two flushes of the log.
    static constexpr milliseconds log_flush_interval{100};
    /// Time between two passes of `run_maintenance`.
    static constexpr milliseconds maintenance_interval{500};
    /// Time between two rounds of asking the peers for relays.
    static constexpr milliseconds relay_query_interval{1000};
    /// Age from which the list of routers is read again while a server is cold.
    static constexpr milliseconds max_membership_age{700};
    /// Time between two rounds of asking the peers for evacuations.
    static constexpr milliseconds evacuation_query_interval{500};
    /// Time over which the routers spread their lists after all of them lost their watches, for each router.
    /// The store then gets at most a few hundred pages a second.
    static constexpr milliseconds relist_spread_per_router{2};
    /// Wait after a failed accept, or at the connection limit.
    static constexpr milliseconds accept_retry_delay{50};
    /// Time after a stop signal during which new connections may still arrive, although the router reports
    /// itself as not ready.
    static constexpr milliseconds deregistration_delay{2600};
    /// Time from a stop signal until new requests are refused.
    static constexpr milliseconds refusal_delay{3000};
    /// Time kept free for the end of the stop before the platform would kill the process.
    static constexpr milliseconds forced_stop_margin{700};
    /// Time within which callers get the final answers to requests that outlast the stop.
    static constexpr milliseconds final_answer_time{150};
    /// Largest number of callers' connections that are open at once.
    static constexpr std::size_t max_caller_connections = 3500;

    gateway(asio::io_context& context, gateway_settings settings, event_log& log, metrics_registry& metrics)
        : context_(context), settings_(std::move(settings)), log_(log), metrics_(metrics),
          control_pool_(context), paths_(control_pool_, settings_.store, log_sink()), objects_(paths_),
          intake_(derive_intake_limits(settings_.resources), log_sink(), metrics),
          incarnation_(settings_.name + "/" + random_id()),
          direct_ledger_(context, typename Platform::budgets(paths_), log_sink()),
          ledger_(control_pool_, direct_ledger_, log_sink()),
          budgets_(context, ledger_, {incarnation_, settings_.notice_listen}, settings_.allowances,
                   log_sink()),
          core_(context, budgets_, log, metrics, settings_.retries, incarnation_, settings_.notice_listen),
          quarantine_sync_(objects_, Platform::quarantine_kind, Platform::quarantine_name, core_.quarantine,
                           core_.notices, log_sink()) {
        core_.intake = &intake_;
        core_.place_by_wait = settings_.place_by_wait;
        core_.freshness.set_limit(settings_.configuration_limit);
        core_.is_cut_off = [this] {
            return paths_.all_paths_failed();
        };
        core_.load.set_limits(settings_.resources, settings_.event_delay_limit);
    }

    /// Starts to listen and to follow the store. Fails if an address cannot be bound.
    result<done> start();

    /// Applies changed settings. Settings that need a restart keep their old values; the log line
    /// "settings_reloaded" says whether the listening address is unchanged.
    void reload(const gateway_settings& changed);

    /// Shuts down gracefully: reports itself as not ready, finishes the requests in progress, and gives
    /// unused allowances back to the ledger. Returns once all of that is done or the time for it has run out.
    task<void> stop();

private:
    event_sink_function log_sink() {
        return [this](const char* event, Json::Value fields) {
            log_.write(event, std::move(fields));
        };
    }
    /// Starts a task. An unexpected exception ends only that task and is logged.
    void spawn(task<void> job) { spawn_on(context_.get_executor(), std::move(job)); }
    /// Starts a task of callers, which runs after the control work.
    void spawn_for_callers(task<void> job) { spawn_on(core_.callers, std::move(job)); }
    void spawn_on(const asio::any_io_executor& executor, task<void> job) {
        asio::co_spawn(executor, std::move(job), [this](const std::exception_ptr& error) {
            if (error) {
                log_failed_task(error);
            }
        });
    }
    void log_failed_task(const std::exception_ptr& error);

    result<done> start_services();
    task<void> accept_callers();
    /// Keeps a session until it has ended, also before its task has begun.
    static task<void> run_session(std::shared_ptr<caller_session<core>> session) { co_await session->run(); }
    task<void> flush_log();
    task<void> run_maintenance();
    void report_held_tokens();
    void report_sessions();
    task<void> ask_peers_for_relays();
    task<text_reply> answer_readiness(text_request request);
    task<text_reply> answer_peer(text_request request);
    bool is_ready() const {
        return !core_.draining && core_.configuration != nullptr && !core_.directory.empty() &&
               core_.places.knows_evacuations();
    }
    task<text_reply> answer_evacuations();
    task<result<Json::Value>> ask_peer(std::string peer, const char* path);
    task<void> learn_evacuations();
    void update_places();
    follower_callbacks evacuation_callbacks();
    follower_callbacks common_callbacks();
    follower_callbacks configuration_callbacks();
    follower_callbacks backend_callbacks();
    void apply_configuration(const followed_object& object);
    void describe_configuration_read(Json::Value& fields) const;
    void apply_backend_change(const followed_change& change, bool after_outage);
    std::optional<backend_directory::entry> decode_entry(const followed_object& object);
    void add_announced_relays(const std::vector<std::string>& relays);
    void update_relays();
    void close_idle_sessions();
    task<void> give_up_requests();

    asio::io_context& context_;
    gateway_settings settings_;
    event_log& log_;
    metrics_registry& metrics_;
    connection_pool control_pool_; ///< Connections to the store, to relays and to peers.
    store_paths paths_;
    typename Platform::objects objects_;
    intake_guard intake_;
    std::string incarnation_;          ///< Identifies this run of the process; differs after a restart.
    ledger_writer_type direct_ledger_; ///< Writes to the store directly when no relay answers.
    ledger_client_type ledger_;
    budget_keeper_type budgets_;
    core core_;
    quarantine_sync<typename Platform::objects> quarantine_sync_;
    std::optional<tcp::acceptor> acceptor_;
    std::vector<std::weak_ptr<caller_session<core>>> sessions_;
    typename Platform::configuration_decoder configuration_decoder_;
    reply_arrival configuration_arrival_;     ///< How the last reply with configurations arrived.
    std::size_t configurations_in_reply_ = 0; ///< Number of configurations in that reply.
    held_tokens reported_held_tokens_;        ///< What the log last told about the tokens taken.
    std::set<std::string> announced_relays_;  ///< Addresses of relays that relays or peers have announced.
    std::set<std::string> rejected_entries_;  ///< Names of entries whose rejection has been logged.
};

template <gateway_platform Platform>
void gateway<Platform>::log_failed_task(const std::exception_ptr& error) {
    Json::Value fields;
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& e) {
        fields["error"] = e.what();
    }
    metrics_.count("failed_tasks");
    log_.write_failure("task_failed", std::move(fields));
}

template <gateway_platform Platform>
result<done> gateway<Platform>::start() {
    core_.places.set_settings(settings_.places, log_sink());
    const result<done> services_started = start_services();
    if (!services_started) {
        return services_started;
    }
    result<tcp::acceptor> acceptor = listen_on(context_, settings_.listen);
    if (!acceptor) {
        return acceptor.error();
    }
    acceptor_.emplace(std::move(acceptor.value()));
    if (settings_.places.evacuation_limit) {
        spawn(object_follower<typename Platform::objects>::follow(objects_, Platform::evacuation_kind,
                                                                  evacuation_callbacks()));
        spawn(learn_evacuations());
    }
    spawn(accept_callers()); // Behind the sessions, it would accept one connection in each turn of the queue.
    spawn(object_follower<typename Platform::objects>::follow(objects_, Platform::configuration_kind,
                                                              configuration_callbacks()));
    spawn(object_follower<typename Platform::objects>::follow(objects_, Platform::backend_server_kind,
                                                              backend_callbacks()));
    spawn(object_follower<typename Platform::objects>::follow(
        objects_, Platform::quarantine_kind, quarantine_sync_.follow_with(common_callbacks())));
    spawn(quarantine_sync_.send_notices(settings_.notice_listen));
    spawn(quarantine_sync_.update_store());
    spawn(budgets_.run());
    spawn(flush_log());
    spawn(intake_.report_metrics());
    spawn(run_maintenance());
    spawn(ask_peers_for_relays());
    return done{};
}

template <gateway_platform Platform>
result<done> gateway<Platform>::start_services() {
    result<done> started = done{};
    if (!settings_.readiness_listen.empty()) {
        started = http_service::start(
            context_, settings_.readiness_listen,
            [this](text_request r) { return answer_readiness(std::move(r)); }, &intake_);
    }
    if (started && !settings_.peer_listen.empty()) {
        started = http_service::start(
            context_, settings_.peer_listen, [this](text_request r) { return answer_peer(std::move(r)); },
            &intake_);
    }
    if (started && !settings_.notice_listen.empty()) {
        started = core_.notices.start(settings_.notice_listen);
    }
    if (started && !settings_.metrics_listen.empty()) {
        started = serve_metrics(context_, settings_.metrics_listen, metrics_, &intake_);
    }
    return started;
}

template <gateway_platform Platform>
void gateway<Platform>::reload(const gateway_settings& changed) {
    core_.retries.set_limits(changed.retries);
    core_.freshness.set_limit(changed.configuration_limit);
    budgets_.set_policy(changed.allowances);
    paths_.set_store(changed.store);
    settings_.retries = changed.retries;
    settings_.configuration_limit = changed.configuration_limit;
    settings_.allowances = changed.allowances;
    settings_.store = changed.store;
    settings_.peers = changed.peers;
    settings_.relay_port = changed.relay_port;
    settings_.stop_limit = changed.stop_limit;
    update_relays();
    Json::Value fields;
    fields["listen_unchanged"] = changed.listen == settings_.listen;
    log_.write("settings_reloaded", std::move(fields));
}

template <gateway_platform Platform>
task<void> gateway<Platform>::accept_callers() {
    for (;;) {
        net_error ec;
        tcp::socket caller = co_await acceptor_->async_accept(core_.callers, with_error(ec));
        if (ec == asio::error::operation_aborted || !acceptor_->is_open()) {
            co_return;
        }
        std::erase_if(sessions_, [](const auto& each) { return each.expired(); });
        if (ec || sessions_.size() >= max_caller_connections) {
            metrics_.count("connections_not_accepted");
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        auto session = std::make_shared<caller_session<core>>(core_, std::move(caller));
        // Other connections wait in the kernel meanwhile; closing this one would lose its request.
        while (!session->take_place(core_.pool.idle_count())) {
            core_.pool.close_all_idle();
            metrics_.count("connections_delayed");
            co_await sleep_for(accept_retry_delay);
        }
        sessions_.push_back(session);
        session->start();
        spawn_for_callers(run_session(std::move(session)));
    }
}

template <gateway_platform Platform>
task<void> gateway<Platform>::flush_log() {
    for (;;) {
        log_.flush();
        co_await sleep_for(log_flush_interval);
    }
}

template <gateway_platform Platform>
task<void> gateway<Platform>::run_maintenance() {
    for (;;) {
        const std::size_t lapsed = core_.directory.remove_lapsed(clock::now());
        if (lapsed > 0) {
            Json::Value fields;
            fields["servers"] = Json::UInt64(lapsed);
            log_.write("backend_servers_lapsed", std::move(fields));
        }
        update_places();
        core_.retries.set_router_count(budgets_.router_count());
        const std::vector<std::string> other_routers = budgets_.other_router_addresses();
        core_.notices.set_peers(other_routers);
        core_.quarantine.set_routers(settings_.notice_listen, other_routers);
        core_.server_limits.ask_routers();
        core_.pool.close_stale();
        control_pool_.close_stale();
        // A request in progress has a connection to a server beside that of its caller.
        core_.load.measure(sessions_.size() + std::size_t(core_.running_requests));
        metrics_.set("requests_running", core_.running_requests);
        metrics_.set("backend_connections_opened", double(core_.pool.opened_count()));
        metrics_.set("prompt_parts_in_quarantine", double(core_.quarantine.quarantined_prompt_part_count()));
        metrics_.set("requests_in_quarantine", double(core_.quarantine.quarantined_request_count()));
        metrics_.set("backend_servers_with_limit", double(core_.server_limits.limited_server_count()));
        report_held_tokens();
        report_sessions();
        metrics_.set("log_lines_dropped", double(log_.dropped_lines()));
        co_await sleep_for(maintenance_interval);
    }
}

/// Tells in the log and the metrics what a crash of this process would lose.
template <gateway_platform Platform>
void gateway<Platform>::report_held_tokens() {
    const held_tokens held = budgets_.held();
    if (held == reported_held_tokens_) {
        return;
    }
    reported_held_tokens_ = held;
    Json::Value fields;
    const auto report = [&](const char* name, tokens amount) {
        fields[name] = Json::Int64(amount);
        metrics_.set("tokens", double(amount), {{"state", name}});
    };
    report("taken", held.taken);
    report("available", held.available);
    report("reserved", held.reserved);
    report("consumed", held.consumed);
    report("charged", held.charged);
    report("lost_by_a_crash", held.lost());
    log_.write("tokens_held", std::move(fields));
}

/// Reports what the callers' sessions are doing, and logs those that neither wait for a request nor serve
/// one.
template <gateway_platform Platform>
void gateway<Platform>::report_sessions() {
    const auto now = clock::now();
    std::map<session_activity, int> counts;
    for (const auto& each : sessions_) {
        const auto session = each.lock();
        if (session == nullptr) {
            continue;
        }
        ++counts[session->activity()];
        if (const auto stall = session->take_stall(now)) {
            Json::Value fields;
            fields["duration_ms"] = Json::Int64(stall->duration.count());
            fields["unread_bytes"] = Json::UInt64(stall->unread_bytes);
            metrics_.count("caller_sessions_stalled");
            log_.write_failure("caller_session_stalled", std::move(fields));
        }
    }
    for (const session_activity each : session_activities) {
        metrics_.set("caller_sessions", counts[each], {{"activity", name_of(each)}});
    }
}

/// Asks the peers for relays until both a configuration and a backend server are known, so that a router that
/// cannot reach the store can read it through a relay.
template <gateway_platform Platform>
task<void> gateway<Platform>::ask_peers_for_relays() {
    while (core_.configuration == nullptr || core_.directory.empty()) {
        for (const std::string& peer : settings_.peers) {
            if (peer == settings_.peer_listen) {
                continue;
            }
            const auto relays = co_await ask_peer(peer, relays_path);
            if (relays) {
                add_announced_relays(string_elements(relays.value()));
            }
        }
        co_await sleep_for(relay_query_interval);
    }
}

template <gateway_platform Platform>
task<text_reply> gateway<Platform>::answer_readiness(text_request request) {
    if (request.target() != Platform::readiness_path) {
        co_return make_reply(http::status::not_found, "text/plain", "");
    }
    co_return make_reply(is_ready() ? http::status::ok : http::status::service_unavailable, "text/plain", "");
}

template <gateway_platform Platform>
task<text_reply> gateway<Platform>::answer_peer(text_request request) {
    if (request.target() == evacuations_path) {
        co_return co_await answer_evacuations();
    }
    if (request.target() != relays_path) {
        co_return make_reply(http::status::not_found, "text/plain", "");
    }
    if (request.method() == http::verb::post) {
        add_announced_relays({request.body()});
        co_return make_reply(http::status::ok, "text/plain", "");
    }
    Json::Value relays(Json::arrayValue);
    for (const std::string& relay : paths_.relays()) {
        relays.append(relay);
    }
    co_return make_reply(http::status::ok, "application/json", to_text(relays));
}

template <gateway_platform Platform>
task<text_reply> gateway<Platform>::answer_evacuations() {
    if (!settings_.places.evacuation_limit || !core_.places.knows_evacuations()) {
        co_return make_reply(http::status::service_unavailable, "text/plain", "");
    }
    Json::Value known(Json::arrayValue);
    for (const std::string& data_centre : core_.places.evacuations().data_centres()) {
        known.append(data_centre);
    }
    co_return make_reply(http::status::ok, "application/json", to_text(known));
}

/// Tells the place rules which routers there are. The list is read from the ledger while a server is cold,
/// about once a second.
template <gateway_platform Platform>
void gateway<Platform>::update_places() {
    const auto now = clock::now();
    const std::size_t cold = core_.configuration == nullptr
                                 ? 0
                                 : core_.places.cold_count(core_.directory.all(), *core_.configuration, now);
    core_.places.note_membership(budgets_.membership(), now);
    if (cold > 0) {
        budgets_.refresh_ledger(max_membership_age);
    }
    metrics_.set("evacuated_data_centres", double(core_.places.evacuations().data_centres().size()));
    metrics_.set("cold_servers", double(cold));
}

template <gateway_platform Platform>
void gateway<Platform>::close_idle_sessions() {
    for (const auto& each : sessions_) {
        if (const auto session = each.lock()) {
            session->close_if_idle();
        }
    }
}

/// Has the callers of all requests in progress get a final answer, since the process is about to end.
template <gateway_platform Platform>
task<void> gateway<Platform>::give_up_requests() {
    for (const auto& each : sessions_) {
        if (const auto session = each.lock()) {
            session->give_up_request();
        }
    }
    const auto deadline = clock::now() + final_answer_time;
    while (core_.running_requests > 0 && clock::now() < deadline) {
        co_await sleep_for(milliseconds(5));
    }
}

template <gateway_platform Platform>
task<void> gateway<Platform>::stop() {
    const auto stop_started = clock::now();
    const auto drain_deadline = stop_started + settings_.stop_limit - forced_stop_margin;
    core_.draining = true;
    log_.write("stop_begun");
    co_await sleep_for(deregistration_delay);
    core_.closing_connections = true;
    close_idle_sessions();
    while (core_.running_requests > 0 && clock::now() < drain_deadline) {
        core_.refusing_requests = clock::now() - stop_started >= refusal_delay;
        close_idle_sessions();
        co_await sleep_for(milliseconds(20));
    }
    core_.refusing_requests = true; // The process may end before a server could answer.
    const int requests_cut = core_.running_requests;
    co_await give_up_requests();
    net_error ignored;
    acceptor_->close(ignored);
    const bool allowances_returned = co_await budgets_.return_allowances();
    Json::Value fields;
    fields["requests_cut"] = requests_cut;
    fields["allowances_returned"] = allowances_returned;
    log_.write("stopped", std::move(fields));
    log_.flush();
}

} // namespace eelgrassgw

#include "gateway/internal/gateway_following.h"

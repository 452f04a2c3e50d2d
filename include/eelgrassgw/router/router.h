#pragma once

/// The router process: it admits, routes and bills callers' requests, and recovers other routers that failed.

#include "eelgrassgw/recovery/failure_detector.h"
#include "eelgrassgw/recovery/recoverer.h"
#include "eelgrassgw/router/answer_sink.h"
#include "eelgrassgw/router/caller_request.h"
#include "eelgrassgw/router/claimed_dispatcher.h"
#include "eelgrassgw/router/departed_agents.h"
#include "eelgrassgw/router/dispatcher.h"
#include "eelgrassgw/router/internal/in_flight_guard.h"
#include "eelgrassgw/router/router_session.h"

#include <atomic>
#include <memory>
#include <shared_mutex>

namespace eelgrassgw {

/// Serves requests from `start` until `stop`. If the session is fenced by a recovery, the router opens a new
/// one under a new incarnation.
template <object_store Store>
class router {
public:
    using session = router_session<Store, demand_policy>;

    router(Store& store, const router_settings& settings);

    /// Starts the servers and the background threads.
    void start();

    /// Stops admitting requests, waits for the requests in flight, writes the journal, folds it into the
    /// ledger and returns the allowances. Returns whether the shutdown was complete, so that no recovery is
    /// necessary.
    bool stop();

private:
    static constexpr std::chrono::milliseconds poll_interval{50};
    static constexpr std::size_t max_remembered_requests = 100000;
    /// Number of other routers whose heartbeats this one checks.
    static constexpr std::size_t watched_router_count = 2;
    /// Number of heartbeat intervals between two searches for stray allowances.
    static constexpr int heartbeats_per_sweep = 10;

    // These functions serve callers' requests.
    void handle_request(const http_request& request, http_exchange& exchange);
    void refuse_caller(const caller_error& error, const std::string& request_id, http_exchange& exchange);
    void handle_caller(const http_request& request, http_exchange& exchange);
    void handle_chat(const http_request& request, http_exchange& exchange, const caller_identity& caller,
                     const configuration& config);
    void answer_chat(const work_order& order, const chat_request& chat, http_exchange& exchange);
    void stream_chat(const work_order& order, const chat_request& chat, http_exchange& exchange);
    void handle_service(const http_request& request, http_exchange& exchange, const caller_identity& caller,
                        const configuration& config);
    void answer_service(const work_order& order, http_exchange& exchange);
    void list_models(http_exchange& exchange, const configuration& config);
    void describe_request(const std::string& request_id, const caller_identity& caller,
                          http_exchange& exchange);
    Json::Value find_request(const std::string& request_id, const std::string& customer);
    work_order make_order(const http_request& request, const caller_identity& caller,
                          const request_limits& limits);
    void answer_metrics(http_exchange& exchange);
    std::size_t live_agent_count() const;
    bool begin_customer_request(const std::string& customer, int max_in_flight);
    void end_customer_request(const std::string& customer);

    // These functions serve other routers and agents.
    void add_rpc_methods();
    Json::Value give_back(const Json::Value& params);
    Json::Value recent_requests(const Json::Value& params);
    bool reclaim_allowance(const std::string& budget, tokens amount);

    router_calls make_router_calls();

    // These functions do the work of the background threads.
    std::shared_ptr<session> open_session();
    result<done> load_all_agents();
    std::shared_ptr<session> current_session() const;
    void ask_peers_for_configuration();
    void refresh_configuration();
    void run_maintenance();
    void replace_fenced_session();
    void write_heartbeat();
    void maintain_allowances();
    void return_idle_allowances(session& own);
    void acknowledge_lost_agents(session& own);
    void recover_others();
    void recover(const std::string& incarnation);
    std::vector<std::string> open_incarnations() const;
    void release_stray_allowances();
    void queue_journalled(const journal_segment& segment);
    void notify_agents();
    bool try_to_notify(const std::string& agent_incarnation, const std::vector<std::string>& request_ids);
    bool has_pending_notices() const;
    agent_calls make_agent_calls() const;
    void log(const char* event, Json::Value fields) const;

    Store& store_;
    const router_settings settings_;
    metrics_registry metrics_;
    configuration_holder configurations_;
    fleet_view view_;
    agent_selector selector_;
    request_table requests_{max_remembered_requests};
    agent_caller caller_;
    departed_agents<Store> departed_agents_;
    settler<session> settler_;
    attempt_runner<session> attempts_;
    dispatcher<session> dispatcher_;
    claimed_dispatcher<Store, session> claimed_dispatcher_;
    rpc_dispatcher rpc_;
    mutable std::mutex mutex_;
    std::shared_ptr<session> session_;
    std::map<std::string, int> in_flight_by_customer_;
    /// Ids of journalled requests, by the agent incarnation that still has to be notified of them.
    std::map<std::string, std::vector<std::string>> pending_notices_;
    std::set<std::string> acknowledged_lost_agents_;
    std::atomic<int> in_flight_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<configuration_follower<Store>> follower_;
    std::unique_ptr<prefix_watcher<Store>> agents_watcher_;
    std::unique_ptr<prefix_watcher<Store>> routers_watcher_;
    std::unique_ptr<http_server> server_;
    /// TLS server for callers only; null if the settings define none.
    std::unique_ptr<http_server> tls_server_;
    std::thread maintenance_;
    std::thread recovery_;
    std::thread notification_;
};

} // namespace eelgrassgw

#include "eelgrassgw/router/internal/router_background.h"
#include "eelgrassgw/router/internal/router_callers.h"
#include "eelgrassgw/router/internal/router_peers.h"

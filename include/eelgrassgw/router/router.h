#pragma once

/// The process that callers talk to: admission, routing, billing, and recovery of other routers.

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

/// Serves from `start` until `stop`. A session that recovery fenced is replaced by a new incarnation.
template <object_store Store>
class router {
public:
    using session = router_session<Store, demand_policy>;

    router(Store& store, const router_settings& settings);
    void start();

    /// Ends admission, finishes what is in flight, writes and folds the journal, returns the allowances.
    /// Returns whether nothing was left for recovery.
    bool stop();

private:
    static constexpr std::chrono::milliseconds poll_interval{50};
    static constexpr std::size_t most_remembered_requests = 100000;
    static constexpr std::size_t watched_routers = 2;
    static constexpr int sweep_every = 10; ///< Heartbeats between two looks for stray allowances.

    // Callers' requests.
    void handle(const http_request& request, http_exchange& exchange);
    void refuse_caller(const caller_error& error, const std::string& request_id, http_exchange& exchange);
    void handle_caller(const http_request& request, http_exchange& exchange);
    void handle_chat(const http_request& request, http_exchange& exchange, const caller_identity& caller,
                     const configuration& in_force);
    void answer_chat(const work_order& order, const chat_request& chat, http_exchange& exchange);
    void stream_chat(const work_order& order, const chat_request& chat, http_exchange& exchange);
    void handle_service(const http_request& request, http_exchange& exchange, const caller_identity& caller,
                        const configuration& in_force);
    void answer_service(const work_order& order, http_exchange& exchange);
    void list_models(http_exchange& exchange, const configuration& in_force);
    void describe_request(const std::string& request_id, const caller_identity& caller,
                          http_exchange& exchange);
    Json::Value look_request_up(const std::string& request_id, const std::string& customer);
    work_order make_order(const http_request& request, const caller_identity& caller,
                          const request_limits& limits);
    void answer_metrics(http_exchange& exchange);
    std::size_t live_agent_count() const;
    bool enter_customer(const std::string& customer, int most);
    void leave_customer(const std::string& customer);

    // Other routers' requests.
    void add_rpc_methods();
    Json::Value give_back(const Json::Value& params);
    Json::Value recent_requests(const Json::Value& params);
    bool reclaim(const std::string& budget, tokens amount);

    router_port make_router_port();

    // Background work.
    std::shared_ptr<session> open_session();
    result<done> see_all_agents();
    std::shared_ptr<session> current_session() const;
    void ask_peers_for_configuration();
    void refresh_configuration();
    void maintain();
    void replace_fenced_session();
    void beat();
    void fold_and_return();
    void return_idle_allowances(session& own);
    void acknowledge_lost_agents(session& own);
    void recover_others();
    void recover(const std::string& incarnation);
    std::vector<std::string> open_incarnations() const;
    void release_strays();
    void queue_journalled(const journal_segment& segment);
    void notify_agents();
    bool is_told(const std::string& agent_incarnation, const std::vector<std::string>& request_ids);
    bool has_notices() const;
    agent_calls make_agent_port() const;
    void log(const char* event, Json::Value fields) const;

    Store& store_;
    const router_settings settings_;
    metrics_registry metrics_;
    configuration_holder configurations_;
    fleet_view view_;
    agent_selector selector_;
    request_table requests_{most_remembered_requests};
    agent_caller caller_;
    departed_agents<Store> departed_;
    settler<session> late_;
    attempt_runner<session> attempts_;
    dispatcher<session> dispatcher_;
    claimed_dispatcher<Store, session> claimed_;
    rpc_dispatcher rpc_;
    mutable std::mutex mutex_;
    std::shared_ptr<session> session_;
    std::map<std::string, int> in_flight_by_customer_;
    std::map<std::string, std::vector<std::string>> notices_; ///< Journalled requests that agents still keep.
    std::set<std::string> acknowledged_lost_;
    std::atomic<int> in_flight_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<configuration_follower<Store>> follower_;
    std::unique_ptr<prefix_watcher<Store>> agents_watcher_;
    std::unique_ptr<prefix_watcher<Store>> routers_watcher_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<http_server> tls_server_; ///< For callers alone; null where the settings name none.
    std::thread maintenance_;
    std::thread recovery_;
    std::thread notification_;
};

} // namespace eelgrassgw

#include "eelgrassgw/router/internal/router_background.h"
#include "eelgrassgw/router/internal/router_callers.h"
#include "eelgrassgw/router/internal/router_peers.h"

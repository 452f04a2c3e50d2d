#pragma once

/// The agent process, which runs next to a backend server and is the only process that sends it requests.

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

/// Runs each ticket at most once, keeps its record until a router has written it to a journal, and streams
/// its output to routers. After recovery has sealed a router, the agent never runs a ticket of that router.
/// The agent serves requests from `start` until `stop`.
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

    /// Starts to serve requests. The agent refuses tickets until it has written its registration.
    void start();

    /// Stops accepting tickets, waits until the active runs have ended and their records are in a journal,
    /// and then closes the registration. Returns false if the drain limit passes first.
    bool stop();

    const std::string& incarnation() const { return incarnation_; }

private:
    static constexpr std::chrono::milliseconds poll_interval{50};
    static constexpr std::chrono::milliseconds max_output_wait{500};
    /// Longest time that a request with a caller's key waits for the memory of an agent that has restarted.
    static constexpr std::chrono::milliseconds max_memory_wait{2000};
    static constexpr std::chrono::milliseconds memory_poll_interval{5};

    // These functions handle the tickets of routers.
    void handle_request(const http_request& request, http_exchange& exchange);
    void send_metrics(http_exchange& exchange);
    void send_refusal(http_exchange& exchange, int status, const std::string& code,
                      const std::string& message, std::chrono::milliseconds retry_after);
    void handle_ticket(const http_request& request, http_exchange& exchange);
    bool check_ticket(const ticket& t, http_exchange& exchange);
    bool wait_for_memory() const;
    configuration_revision adopt_configuration(const ticket& t);
    bool check_router(const ticket& t, http_exchange& exchange);
    static std::string refusal_code(const failure& f);
    result<accepted_ticket> accept_ticket(const ticket& t);
    void execute_run(run& r);
    void end_run(run& r, const run_outcome& outcome);
    void handle_attach(const http_request& request, http_exchange& exchange);
    void stream_run(run& r, std::size_t offset, http_exchange& exchange);
    std::string accepted_line(const run& r) const;
    void log_ticket(const ticket& t, const char* decision, const std::string& reason) const;

    // These functions handle the remote calls of routers, recovery and operators.
    void add_rpc_methods();
    Json::Value seal_router(const Json::Value& params);
    Json::Value describe_run(const run_status& status) const;
    Json::Value mark_journalled(const Json::Value& params);
    Json::Value abandon_run(const Json::Value& params);
    Json::Value describe_self();
    void stop_run(run& r, const std::string& reason);

    // These functions run in the background.
    bool store_memory_and_close(steady_time deadline);
    agent_member make_member() const;
    void run_maintenance();
    void try_to_register();
    void look_up_routers();
    void rebuild_memory();
    result<std::vector<std::string>> query_router(const router_member& router);
    void update_load_metrics();
    void check_vm_list();
    void begin_drain(const std::string& reason);
    void check_registration();
    void log(const char* event, Json::Value fields) const;

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
    std::atomic<bool> memory_is_complete_{false};
    std::atomic<bool> fenced_{false};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<http_server> server_;
    std::thread maintenance_thread_;
};

} // namespace eelgrassgw

#include "eelgrassgw/agent/internal/agent_background.h"
#include "eelgrassgw/agent/internal/agent_peers.h"
#include "eelgrassgw/agent/internal/agent_tickets.h"

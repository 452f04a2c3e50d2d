#include "test/system/fault_cell.h"

namespace eelgrassgw::test {

namespace {

/// Names a step of a request and the failpoints at which faults are injected into it.
struct fault_site {
    std::string step;
    std::string process;
    std::vector<std::string> process_failpoints; ///< Failpoints that kill or freeze the process.
    std::vector<std::string> message_failpoints; ///< Failpoints of the messages that the step sends.
    std::vector<std::string> arguments;
};

// Router 1 ends, and router 2 recovers it and reaches the failpoint. Router 3 completes the recovery if
// router 2 cannot.
const std::vector<std::string> three_routers = {"--routers=3", "--failpoint=router-1/router_chunk=exit:4",
                                                "--slow_to_suspect=router-3"};
const std::vector<std::string> fast_allowance_returns = {"--idle_return_ms=300", "--grant_horizon_s=1"};
const std::vector<std::string> broken_stream_arguments = {
    "--failpoint=router-1/router_stream_breaks=error:4"};

std::vector<fault_site> fault_sites() {
    return {
        {"admission", "router-1", {"router_admission:2"}, {"store_GET_ledger"}, {}},
        {"allowance_grant",
         "router-1",
         {"grant_before_write", "grant_after_write"},
         {"store_PUT_ledger"},
         {}},
        {"ticket_sent", "router-1", {"router_before_ticket:2", "router_after_ticket:2"}, {"send_ticket"}, {}},
        {"ticket_accepted", "engine-1", {"agent_ticket_accepted"}, {}, {}},
        {"first_chunk", "router-1", {"router_chunk"}, {}, {}},
        {"first_chunk_agent", "engine-1", {"agent_chunk"}, {}, {}},
        {"mid_stream", "router-1", {"router_chunk:9"}, {}, {}},
        {"mid_stream_attach", "router-1", {}, {"attach_run"}, broken_stream_arguments},
        {"mid_stream_agent", "engine-1", {"agent_chunk:9"}, {}, {}},
        {"end_marker", "router-1", {"router_end_marker"}, {}, {}},
        {"end_marker_agent", "engine-1", {"agent_end_sent"}, {}, {}},
        {"settle", "router-1", {"router_settle"}, {}, {}},
        {"journal_write",
         "router-1",
         {"journal_before_write", "journal_after_write"},
         {"store_PUT_journal"},
         {}},
        {"journalled_notice", "router-1", {"notice_before_send"}, {"rpc_journalled"}, {}},
        {"ledger_fold", "router-1", {"fold_before_write", "fold_after_write"}, {"store_PUT_ledger:2"}, {}},
        {"allowance_return",
         "router-1",
         {"return_before_write", "return_after_write"},
         {"store_PUT_ledger:3"},
         fast_allowance_returns},
        {"claim_written", "router-1", {"claim_written"}, {"store_PUT_claims", "store_GET_claims"}, {}},
        {"claim_done", "router-1", {"claim_before_done"}, {"store_PUT_claims:2"}, {}},
        {"service_call", "service-1", {"service_before_call", "service_after_call"}, {"call_service"}, {}},
        {"engine_call", "engine-1", {"agent_run_started"}, {"call_engine"}, {}},
        {"recovery_seal",
         "router-2",
         {"recovery_entry_sealed", "recovery_journal_sealed"},
         {"store_PUT_routers:2"},
         three_routers},
        {"recovery_collect", "router-2", {"recovery_collected"}, {"rpc_seal"}, three_routers},
        {"recovery_settle",
         "router-2",
         {"recovery_segment_written", "recovery_ledger_settled"},
         {"store_DELETE_heartbeats"},
         three_routers},
    };
}

/// Inserts the action into a failpoint: "name:2" becomes "name=action:2". Without a number, the failpoint
/// fires on its first pass.
std::string with_action(const std::string& failpoint_spec, const std::string& action) {
    const std::size_t colon = failpoint_spec.find(':');
    const std::string pass_number = colon == std::string::npos ? ":1" : failpoint_spec.substr(colon);
    return failpoint_spec.substr(0, colon) + "=" + action + pass_number;
}

std::string failpoint_name(const std::string& failpoint_spec) {
    return failpoint_spec.substr(0, failpoint_spec.find(':'));
}

fault_cell make_cell(const fault_site& site, const std::string& failpoint_spec, const std::string& fault,
                     fault_kind kind, const std::string& action) {
    fault_cell cell;
    cell.step = site.step;
    cell.fault = fault + "__" + failpoint_name(failpoint_spec);
    cell.kind = kind;
    cell.process = site.process;
    cell.failpoint = failpoint_name(failpoint_spec);
    cell.arguments = site.arguments;
    const std::string failpoint = "--failpoint=" + site.process + "/";
    for (std::string& argument : cell.arguments) {
        if (argument.starts_with(failpoint)) {
            argument += "," + with_action(failpoint_spec, action);
            return cell;
        }
    }
    cell.arguments.push_back(failpoint + with_action(failpoint_spec, action));
    return cell;
}

bool is_agent(const fault_site& site) {
    return !site.process.starts_with("router");
}

/// Adds faults of the network and the platform. The failpoint freezes the process while the test starts the
/// fault, so that the fault begins exactly at the failpoint.
void add_external_faults(const fault_site& site, const std::string& failpoint_spec,
                         std::vector<fault_cell>& cells) {
    fault_site with_proxies = site;
    with_proxies.arguments.push_back("--proxies");
    cells.push_back(
        make_cell(with_proxies, failpoint_spec, "cut", fault_kind::agent_connections_cut, "freeze"));
    cells.push_back(
        make_cell(with_proxies, failpoint_spec, "partition", fault_kind::api_partition, "freeze"));
    cells.push_back(make_cell(with_proxies, failpoint_spec, "data_centres_apart",
                              fault_kind::data_centre_partition, "freeze"));
    cells.push_back(
        make_cell(with_proxies, failpoint_spec, "object_api_stopped", fault_kind::api_stopped, "freeze"));
}

void add_process_faults(const fault_site& site, const std::string& failpoint_spec,
                        std::vector<fault_cell>& cells) {
    cells.push_back(make_cell(site, failpoint_spec, "frozen", fault_kind::freeze, "freeze"));
    cells.push_back(make_cell(site, failpoint_spec, "restarted", fault_kind::kill_restart, "exit"));
    // An agent that does not restart is a lost VM, which "both_lost" and the membership tests cover.
    if (is_agent(site)) {
        return;
    }
    cells.push_back(make_cell(site, failpoint_spec, "killed", fault_kind::kill, "exit"));
    const bool is_first_router = site.process == "router-1";
    if (is_first_router) {
        cells.push_back(
            make_cell(site, failpoint_spec, "both_lost", fault_kind::kill_router_and_agents, "exit"));
    }
}

void add_message_faults(const fault_site& site, const std::string& message_failpoint,
                        std::vector<fault_cell>& cells) {
    if (site.arguments == three_routers) {
        // The process survives a message fault, so no third router is needed to complete the recovery.
        fault_site two_router_site = site;
        two_router_site.arguments = {"--routers=2", three_routers[1]};
        add_message_faults(two_router_site, message_failpoint, cells);
        return;
    }
    for (const char* action : {"unreachable", "lose_request", "lose_answer", "late", "twice", "slow"}) {
        const bool is_duplicated_call = message_failpoint == "call_service" && std::string(action) == "twice";
        if (!is_duplicated_call) { // Neither the agent nor TCP delivers a call to a service twice.
            cells.push_back(make_cell(site, message_failpoint, action, fault_kind::message_fault, action));
        }
    }
}

} // namespace

std::vector<fault_cell> all_fault_cells() {
    std::vector<fault_cell> cells;
    for (const fault_site& site : fault_sites()) {
        for (const std::string& failpoint_spec : site.process_failpoints) {
            add_process_faults(site, failpoint_spec, cells);
        }
        if (!site.process_failpoints.empty()) {
            add_external_faults(site, site.process_failpoints.front(), cells);
        }
        for (const std::string& message_failpoint : site.message_failpoints) {
            add_message_faults(site, message_failpoint, cells);
        }
    }
    return cells;
}

} // namespace eelgrassgw::test

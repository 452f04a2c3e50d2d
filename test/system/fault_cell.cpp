#include "test/system/fault_cell.h"

namespace eelgrassgw::test {

namespace {

/// A step, and where faults reach it.
struct step_site {
    std::string step;
    std::string process;
    std::vector<std::string> places;   ///< Failpoints at which the process can be killed or frozen.
    std::vector<std::string> messages; ///< Failpoints of messages sent at the step.
    std::vector<std::string> arguments;
};

// Router 1 dies, router 2 recovers it and meets the fault, router 3 finishes where router 2 cannot.
const std::vector<std::string> three_routers = {"--routers=3", "--failpoint=router-1/router_chunk=exit:4",
                                                "--slow_to_suspect=router-3"};
const std::vector<std::string> quick_returns = {"--idle_return_ms=300", "--grant_horizon_s=1"};
const std::vector<std::string> broken_stream = {"--failpoint=router-1/router_stream_breaks=error:4"};

std::vector<step_site> sites() {
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
        {"mid_stream_attach", "router-1", {}, {"attach_run"}, broken_stream},
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
         quick_returns},
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

/// "name:2" with an action becomes "name=action:2".
std::string armed(const std::string& place, const std::string& action) {
    const std::size_t colon = place.find(':');
    const std::string pass = colon == std::string::npos ? ":1" : place.substr(colon);
    return place.substr(0, colon) + "=" + action + pass;
}

std::string bare(const std::string& place) {
    return place.substr(0, place.find(':'));
}

fault_cell make_cell(const step_site& site, const std::string& place, const std::string& fault,
                     fault_kind kind, const std::string& action) {
    fault_cell cell;
    cell.step = site.step;
    cell.fault = fault + "__" + bare(place);
    cell.kind = kind;
    cell.process = site.process;
    cell.failpoint = bare(place);
    cell.arguments = site.arguments;
    const std::string failpoint = "--failpoint=" + site.process + "/";
    for (std::string& argument : cell.arguments) {
        if (argument.starts_with(failpoint)) {
            argument += "," + armed(place, action);
            return cell;
        }
    }
    cell.arguments.push_back(failpoint + armed(place, action));
    return cell;
}

bool is_agent(const step_site& site) {
    return !site.process.starts_with("router");
}

/// Faults of the network and the platform that begin exactly at the place: the process is held there while
/// they are set up.
void add_outside_faults(const step_site& site, const std::string& place, std::vector<fault_cell>& cells) {
    step_site with_proxies = site;
    with_proxies.arguments.push_back("--proxies");
    cells.push_back(make_cell(with_proxies, place, "cut", fault_kind::cut, "freeze"));
    cells.push_back(make_cell(with_proxies, place, "partition", fault_kind::partition, "freeze"));
    cells.push_back(make_cell(with_proxies, place, "data_centres_apart", fault_kind::apart, "freeze"));
    cells.push_back(make_cell(with_proxies, place, "object_api_stopped", fault_kind::api_stopped, "freeze"));
}

void add_process_faults(const step_site& site, const std::string& place, std::vector<fault_cell>& cells) {
    cells.push_back(make_cell(site, place, "frozen", fault_kind::freeze, "freeze"));
    cells.push_back(make_cell(site, place, "restarted", fault_kind::kill_restart, "exit"));
    if (is_agent(site)) {
        return; // An agent that stays away is a lost VM: see "both_lost" and the tests of membership.
    }
    cells.push_back(make_cell(site, place, "killed", fault_kind::kill, "exit"));
    const bool is_first_router = site.process == "router-1";
    if (is_first_router) {
        cells.push_back(make_cell(site, place, "both_lost", fault_kind::kill_both, "exit"));
    }
}

void add_message_faults(const step_site& site, const std::string& message, std::vector<fault_cell>& cells) {
    if (site.arguments == three_routers) {
        // The process lives on, so that it can be the only one that recovers.
        step_site alone = site;
        alone.arguments = {"--routers=2", three_routers[1]};
        add_message_faults(alone, message, cells);
        return;
    }
    for (const char* action : {"unreachable", "lose_request", "lose_answer", "late", "twice", "slow"}) {
        const bool is_duplicated_call = message == "call_service" && std::string(action) == "twice";
        if (!is_duplicated_call) { // Nothing before the service sends a call twice, and TCP does not either.
            cells.push_back(make_cell(site, message, action, fault_kind::message, action));
        }
    }
}

} // namespace

std::vector<fault_cell> all_fault_cells() {
    std::vector<fault_cell> cells;
    for (const step_site& site : sites()) {
        for (const std::string& place : site.places) {
            add_process_faults(site, place, cells);
        }
        if (!site.places.empty()) {
            add_outside_faults(site, site.places.front(), cells);
        }
        for (const std::string& message : site.messages) {
            add_message_faults(site, message, cells);
        }
    }
    return cells;
}

} // namespace eelgrassgw::test

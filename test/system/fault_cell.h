#pragma once

/// Describes the cells of the fault matrix. Each cell injects one fault at one step while callers send
/// requests.

#include "test/system/fleet.h"

#include <string>
#include <vector>

namespace eelgrassgw::test {

/// Describes what happens when the process reaches the failpoint.
enum class fault_kind {
    message_fault,          ///< The failpoint disturbs a message, and the process continues.
    kill,                   ///< The process ends and is not restarted.
    kill_restart,           ///< The process ends and is restarted at once.
    freeze,                 ///< The process freezes until other processes suspect it, then continues.
    agent_connections_cut,  ///< All connections to the agents break for a moment.
    api_partition,          ///< The process cannot reach the object API until other processes suspect it.
    data_centre_partition,  ///< The data centres cannot reach each other, and the data centre of the process
                            ///< cannot reach the object API.
    api_stopped,            ///< The object API stops responding to every process.
    kill_router_and_agents, ///< The router and every agent of an engine end, and the agents are restarted.
};

struct fault_cell {
    std::string step;
    std::string fault;
    fault_kind kind = fault_kind::message_fault;
    std::string process;                ///< Name of the process that reaches the failpoint.
    std::string failpoint;              ///< Name of the failpoint.
    std::vector<std::string> arguments; ///< Arguments of `local-fleet up`, including the failpoints.
    bool should_stop_gracefully = true; ///< Whether the fleet must stop gracefully after the fault.

    std::string name() const { return step + "__" + fault; }
};

/// Returns all cells, in the order of docs/fault-matrix.md.
std::vector<fault_cell> all_fault_cells();

} // namespace eelgrassgw::test

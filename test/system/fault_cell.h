#pragma once

/// One cell of the fault matrix: a fault at a step, while callers go on.

#include "test/system/fleet.h"

#include <string>
#include <vector>

namespace eelgrassgw::test {

/// What happens to the process that meets the failpoint.
enum class fault_kind {
    message,      ///< The failpoint is in a message; the process goes on.
    kill,         ///< The process ends and stays away.
    kill_restart, ///< The process ends and is started again at once.
    freeze,       ///< The process stops for longer than it is trusted, then goes on.
    cut,          ///< At the place, all connections of the agents break for a moment.
    partition,    ///< At the place, the process is cut from the object API for longer than it is trusted.
    apart,        ///< At the place, two data centres part; the object API stays with the other one.
    api_stopped,  ///< At the place, the object API stops for everybody.
    kill_both,    ///< The router ends, and so does every agent of an engine; the agents come back.
};

struct fault_cell {
    std::string step;
    std::string fault;
    fault_kind kind = fault_kind::message;
    std::string process;                ///< That meets the failpoint.
    std::string failpoint;              ///< Its name.
    std::vector<std::string> arguments; ///< For `local-fleet up`, the failpoints among them.
    bool stops_cleanly = true;          ///< Whether the fleet must stop gracefully afterwards.

    std::string name() const { return step + "__" + fault; }
};

/// All cells, in the order of docs/fault-matrix.md.
std::vector<fault_cell> all_fault_cells();

} // namespace eelgrassgw::test

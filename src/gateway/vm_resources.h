#pragma once

/// Describes the resources of the VM that a process runs on.

#include <cstddef>

namespace eelgrassgw {

/// What the settings state about the VM. A value of 0 means that the settings do not state it.
struct vm_resources {
    double processor_share = 0;      ///< Part of one processor core that the process may use.
    std::size_t memory_mb = 0;       ///< Memory beyond which the platform ends the process, in megabytes.
    std::size_t max_descriptors = 0; ///< Number of descriptors that the process may have open.
    double link_mbps = 0;            ///< Bandwidth of the VM's link, in megabits per second.
};

} // namespace eelgrassgw

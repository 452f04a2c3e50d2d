#pragma once

/// A plain service, such as a booking service, behind its own HTTP interface.

#include "eelgrassgw/agent/backend_adapter.h"
#include "eelgrassgw/transport/http_client.h"

namespace eelgrassgw {

/// Meets `backend_adapter`. Sends each call once and never repeats it. Thread-safe.
class service_backend {
public:
    service_backend(endpoint service, http_timeouts timeouts)
        : service_(std::move(service)), timeouts_(timeouts) {}

    run_outcome execute(run& r, std::uint64_t fencing_number);

    /// A call cannot be stopped; does nothing.
    result<done> cancel(const std::string& request_id, std::uint64_t fencing_number);

    /// An earlier agent's call cannot be stopped; its outcome stays unknown to callers.
    result<done> take_over(std::uint64_t fencing_number);
    result<backend_load> load();

private:
    endpoint service_;
    http_timeouts timeouts_;
};

static_assert(backend_adapter<service_backend>);

} // namespace eelgrassgw

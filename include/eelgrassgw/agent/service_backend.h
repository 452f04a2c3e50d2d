#pragma once

/// Adapter for a plain HTTP service, such as a booking service.

#include "eelgrassgw/agent/backend_adapter.h"
#include "eelgrassgw/transport/http_client.h"

namespace eelgrassgw {

/// Sends each call to the service once and never repeats it. Satisfies `backend_adapter`. Thread-safe.
class service_backend {
public:
    service_backend(endpoint service, http_timeouts timeouts)
        : service_(std::move(service)), timeouts_(timeouts) {}

    run_outcome execute(run& r, std::uint64_t fencing_number);

    /// Does nothing, because a call to the service cannot be stopped.
    result<done> cancel(const std::string& request_id, std::uint64_t fencing_number);

    /// Does nothing, because the calls of an earlier agent cannot be stopped. Their outcome stays unknown to
    /// the callers.
    result<done> take_over(std::uint64_t fencing_number);
    result<backend_load> query_load();

private:
    endpoint service_;
    http_timeouts timeouts_;
};

static_assert(backend_adapter<service_backend>);

} // namespace eelgrassgw

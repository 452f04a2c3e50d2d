#pragma once

/// Adapter for a model engine that speaks an OpenAI-style streaming protocol.

#include "eelgrassgw/agent/backend_adapter.h"
#include "eelgrassgw/transport/http_client.h"

#include <optional>

namespace eelgrassgw {

/// Sends tickets to a model engine. Satisfies `backend_adapter`. Thread-safe.
class engine_backend {
public:
    engine_backend(endpoint engine, http_timeouts timeouts)
        : engine_(std::move(engine)), timeouts_(timeouts) {}

    run_outcome execute(run& r, std::uint64_t fencing_number);
    result<done> cancel(const std::string& request_id, std::uint64_t fencing_number);
    result<done> take_over(std::uint64_t fencing_number);
    result<backend_load> query_load();

private:
    /// Reads events until the end marker. Returns `std::nullopt` if the stream breaks before the marker.
    std::optional<run_outcome> read_events(http_stream& stream, run& r, std::uint64_t fencing_number);
    /// Returns the engine's answer to the question for its record of the run `id`; status 404 if it has none.
    result<http_response> ask_for_run(const std::string& id);
    /// Returns the outcome of a run whose request the engine answered with a failure: `not_run` only if the
    /// engine knows no such run, since a status alone does not prove that.
    run_outcome settle_refused_run(run& r, std::uint64_t fencing_number, const std::string& cause);
    run_outcome settle_broken_run(run& r, std::uint64_t fencing_number, const std::string& cause);
    result<done> post_command(const std::string& path, const Json::Value& body);

    endpoint engine_;
    http_timeouts timeouts_;
};

static_assert(backend_adapter<engine_backend>);

} // namespace eelgrassgw

#pragma once

/// Finds out whether a backend server whose connections broke has crashed.

#include "backends/backend_directory.h"
#include "base/event_sink.h"
#include "net/connection_pool.h"
#include "quarantine/part_quarantine.h"

#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Reports a crash to the quarantine if a server that broke off answers takes no connections any more. A
/// server that only broke off an answer, or whose connections were reset on the way, still takes them. Not
/// thread-safe.
class crash_detector {
public:
    using milliseconds = std::chrono::milliseconds;

    /// Time after the first broken answer until the server is called. Answers that the same crash broke
    /// off are noticed within it.
    static constexpr milliseconds check_delay{50};
    static constexpr milliseconds connect_timeout{300};

    /// Precondition: the references outlive this object.
    crash_detector(asio::io_context& context, connection_pool& pool, part_quarantine& quarantine,
                   event_sink_function log)
        : context_(context), pool_(pool), quarantine_(quarantine), log_(std::move(log)) {}

    /// Notes that the server broke off the answer to the request with this id, and checks the server soon.
    void note_broken_answer(const tracked_backend& server, interrupted_request request, std::string id);

private:
    /// The requests whose answers one run of a server broke off.
    struct broken_answers {
        std::vector<interrupted_request> requests;
        std::vector<std::string> ids; ///< Ids of the requests, in the same order.
    };

    task<void> check(std::string incarnation, std::string address);
    void report_crash(const std::string& incarnation, const broken_answers& broken);

    asio::io_context& context_;
    connection_pool& pool_;
    part_quarantine& quarantine_;
    event_sink_function log_;
    std::map<std::string, broken_answers> unchecked_; ///< Broken answers by server incarnation.
};

} // namespace eelgrassgw

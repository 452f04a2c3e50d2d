#pragma once

/// Exchanges notices between routers about the limits that backend servers have named.

#include "backends/backend_directory.h"
#include "eelgrassgw/base/failure.h"
#include "limits/reach_estimate.h"
#include "net/notice_channel.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Keeps the routers' copies of each `request_limit` in step. A request to a server with a limit, and each
/// change of a limit, is told to all routers at once. While limits are in force, a router also asks a few
/// others for what they know. That mends lost notices and tells new routers, and it shows which part of the
/// routers can be reached at all. The store is not needed. Not thread-safe.
class limit_notices {
public:
    using clock = tracked_backend::clock;
    using tracked_list = std::vector<std::shared_ptr<tracked_backend>>;

    /// Number of routers that are asked at a time, so that the cost does not grow with the fleet.
    static constexpr std::size_t max_questions = 8;
    /// Largest number of limits in one notice, which must fit into a datagram.
    static constexpr std::size_t max_limits_per_notice = 40;
    /// Largest number of requests that one notice can tell of.
    static constexpr int max_taken = 1000;
    /// Time for which the end of a limit is told to routers that may have missed it.
    static constexpr std::chrono::seconds ended_retention{30};
    /// Oldest statement of a server that another router can tell of.
    static constexpr std::chrono::hours max_age{24};

    /// `own_address` is the address at which this router receives notices. Precondition: the references
    /// outlive this object.
    limit_notices(notice_channel& channel, backend_directory& directory, std::string own_address);

    /// Counts a request that is about to be sent to the server. Does nothing if it names no limit.
    void note_request(tracked_backend& server);

    /// Notes what an answer of the server says: its rate, or nothing if it names none. Returns whether that
    /// is new to this router. Precondition: the rate is not negative.
    bool note_answer(tracked_backend& server, std::optional<double> rate);

    /// Asks some other routers for what they know, if a limit is in force or has ended lately. To be called
    /// about twice a second.
    void ask_routers();

    /// Handles a received notice. Fails with a description of the fault if the notice is malformed.
    result<done> handle_notice(const Json::Value& notice);

    /// Returns the number of servers whose limit is in force.
    std::size_t limited_server_count() const;

private:
    tracked_list servers_to_tell() const;
    void update_share();
    std::shared_ptr<tracked_backend> apply(const Json::Value& limit);
    Json::Value make_notice(const tracked_list& servers) const;

    notice_channel& channel_;
    backend_directory& directory_;
    std::string own_address_;
    reach_estimate reach_;
    double share_ = 1; ///< Part of each rate that this router counts on.
};

} // namespace eelgrassgw

#pragma once

/// Tells other routers which version of the configuration is in force.

#include "base/event_sink.h"
#include "net/notice_channel.h"
#include "routes/configuration_freshness.h"

#include <cstdint>

namespace eelgrassgw {

/// Sends a notice for each version that comes into force, and hands those of others to a
/// `configuration_freshness`. A router that is late hears of a version from several others, as each tells
/// some. Not thread-safe.
class configuration_notices {
public:
    /// Number of routers that are told, so that the cost does not grow with the fleet.
    static constexpr std::size_t max_recipients = 8;

    /// Precondition: the references outlive this object.
    configuration_notices(notice_channel& channel, configuration_freshness& freshness,
                          event_sink_function log);

    /// Tells some other routers that the version is in force here.
    void send(std::uint64_t version);

private:
    result<done> handle_notice(const Json::Value& notice);

    notice_channel& channel_;
    configuration_freshness& freshness_;
    event_sink_function log_;
};

} // namespace eelgrassgw

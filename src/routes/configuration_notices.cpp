#include "routes/configuration_notices.h"

#include "base/random_choice.h"
#include "eelgrassgw/base/json.h"

#include <string>
#include <utility>
#include <vector>

namespace eelgrassgw {

namespace {

constexpr const char* notice_kind = "configuration";

} // namespace

configuration_notices::configuration_notices(notice_channel& channel, configuration_freshness& freshness,
                                             event_sink_function log)
    : channel_(channel), freshness_(freshness), log_(std::move(log)) {
    channel_.set_handler(notice_kind, [this](const Json::Value& notice) { return handle_notice(notice); });
}

void configuration_notices::send(std::uint64_t version) {
    Json::Value notice;
    notice["kind"] = notice_kind;
    notice["version"] = Json::UInt64(version);
    std::vector<std::string> routers = channel_.peers();
    keep_random(routers, max_recipients);
    for (const std::string& router : routers) {
        channel_.send_to(router, notice);
    }
}

result<done> configuration_notices::handle_notice(const Json::Value& notice) {
    const Json::Value& version = member(notice, "version");
    if (!version.isUInt64()) {
        return make_failure(errc::malformed, "parse configuration notice", "",
                            "field \"version\" is no whole number");
    }
    if (freshness_.note_elsewhere(version.asUInt64(), configuration_freshness::clock::now())) {
        Json::Value fields;
        fields["version"] = version;
        log_("configuration_heard_of", std::move(fields));
    }
    return done{};
}

} // namespace eelgrassgw

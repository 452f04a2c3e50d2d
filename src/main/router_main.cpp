/// Main program of eelgrass-router, the process that serves the callers.

#include "daemon.h"
#include "eelgrassgw/platform/http_object_store.h"
#include "eelgrassgw/router/router.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_bool(check_settings, false, "check the settings file and exit: 0 if it is valid, 2 if not");

namespace eelgrassgw {
namespace {

constexpr int exit_unclean_drain = 3;

int run_daemon() {
    const result<router_settings> settings = load_router_settings(FLAGS_settings);
    if (!settings) {
        std::cerr << settings.error().text() << "\n";
        return 2;
    }
    if (FLAGS_check_settings) {
        std::cout << "settings \"" << FLAGS_settings << "\" are valid\n";
        return 0;
    }
    const sigset_t stop_signals = block_stop_signals();
    const common_settings& common = settings.value().common;
    set_sender_name(common.name);
    open_log(common.name, common.log_file, common.min_log_level);
    const char* failpoints = std::getenv("EELGRASSGW_FAILPOINTS");
    arm_failpoints(failpoints == nullptr ? "" : failpoints);
    http_object_store store(common.object_api, {common.object_api_timeout, common.object_api_timeout});
    router<http_object_store> daemon(store, settings.value());
    daemon.start();
    wait_for_stop(stop_signals);
    const bool clean = daemon.stop();
    // No request is in flight on the connections that are still open.
    std::_Exit(clean ? 0 : exit_unclean_drain);
}

} // namespace
} // namespace eelgrassgw

int main(int argc, char** argv) {
    gflags::SetUsageMessage("serves the callers: admission, routing, billing");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return eelgrassgw::run_daemon();
}

/// Main program of eelgrass-agent, the process that runs beside a backend server.

#include "daemon.h"
#include "eelgrassgw/agent/agent.h"
#include "eelgrassgw/agent/engine_backend.h"
#include "eelgrassgw/agent/service_backend.h"
#include "eelgrassgw/platform/http_object_store.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <unistd.h>

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_bool(check_settings, false, "check the settings file and exit: 0 if it is valid, 2 if not");

namespace eelgrassgw {
namespace {

constexpr int exit_unclean_drain = 3;

template <backend_adapter Backend>
int serve(const agent_settings& settings, Backend& backend, const sigset_t& stop_signals) {
    const http_timeouts timeouts{settings.common.object_api_timeout, settings.common.object_api_timeout};
    http_object_store store(settings.common.object_api, timeouts);
    agent<http_object_store, Backend> daemon(store, backend, settings);
    daemon.start();
    wait_for_stop(stop_signals);
    const bool clean = daemon.stop();
    // No request is in flight on the connections that are still open.
    std::_Exit(clean ? 0 : exit_unclean_drain);
}

int run_daemon() {
    const result<agent_settings> settings = load_agent_settings(FLAGS_settings);
    if (!settings) {
        std::cerr << settings.error().text() << "\n";
        return 2;
    }
    if (FLAGS_check_settings) {
        std::cout << "settings \"" << FLAGS_settings << "\" are valid\n";
        return 0;
    }
    const sigset_t stop_signals = block_stop_signals();
    set_sender_name(settings.value().common.name);
    open_log(settings.value().common.name, settings.value().common.log_file,
             settings.value().common.min_log_level);
    const char* failpoints = std::getenv("EELGRASSGW_FAILPOINTS");
    arm_failpoints(failpoints == nullptr ? "" : failpoints);
    const http_timeouts timeouts{std::chrono::milliseconds(1000), settings.value().backend_timeout};
    if (settings.value().is_model_engine) {
        engine_backend backend(settings.value().backend, timeouts);
        return serve(settings.value(), backend, stop_signals);
    }
    service_backend backend(settings.value().backend, timeouts);
    return serve(settings.value(), backend, stop_signals);
}

} // namespace
} // namespace eelgrassgw

int main(int argc, char** argv) {
    gflags::SetUsageMessage("runs beside a backend server and forwards all requests to it");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return eelgrassgw::run_daemon();
}

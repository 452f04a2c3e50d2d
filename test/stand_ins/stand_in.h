#pragma once

/// Defines the main loop of all stand-ins, which serves HTTP on an address until SIGTERM.

#include "eelgrassgw/transport/http_client.h"
#include "eelgrassgw/transport/http_server.h"
#include "src/main/daemon.h"

#include <cstdio>
#include <unistd.h>

namespace eelgrassgw::stand_in {

/// Serves `handler` on the address `listen` until SIGTERM or SIGINT, then exits the process with status 0 and
/// closes all open streams. Returns 2 if `listen` is not an address and port.
inline int serve(const std::string& listen, http_handler handler) {
    const sigset_t stop_signals = block_stop_signals();
    const result<endpoint> parsed = parse_endpoint(listen);
    if (!parsed) {
        std::fprintf(stderr, "%s\n", parsed.error().text().c_str());
        return 2;
    }
    http_server_options options;
    options.address = parsed.value().address;
    options.port = parsed.value().port;
    const http_server server(options, std::move(handler));
    int signal = 0;
    sigwait(&stop_signals, &signal);
    _exit(0);
}

} // namespace eelgrassgw::stand_in

#pragma once

/// What all stand-ins share: serve on an address until SIGTERM.

#include "eelgrassgw/transport/http_client.h"
#include "eelgrassgw/transport/http_server.h"
#include "src/main/daemon.h"

#include <cstdio>
#include <unistd.h>

namespace eelgrassgw::stand_in {

/// Serves `handler` on `listen` until SIGTERM, then ends the process; streams in flight are cut off.
inline int serve(const std::string& listen, http_handler handler) {
    const sigset_t stops = block_stop_signals();
    const result<endpoint> at = parse_endpoint(listen);
    if (!at) {
        std::fprintf(stderr, "%s\n", at.error().text().c_str());
        return 2;
    }
    http_server_options options;
    options.address = at.value().address;
    options.port = at.value().port;
    const http_server server(options, std::move(handler));
    int signal = 0;
    sigwait(&stops, &signal);
    _exit(0);
}

} // namespace eelgrassgw::stand_in

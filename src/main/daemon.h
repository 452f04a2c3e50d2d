#pragma once

/// What the daemons' main functions share.

#include <csignal>

namespace eelgrassgw {

/// Blocks SIGTERM and SIGINT in this thread and all later ones, and ignores SIGPIPE.
inline sigset_t block_stop_signals() {
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    return stops;
}

/// Waits for one of `stops`.
inline void wait_for_stop(const sigset_t& stops) {
    int signal = 0;
    sigwait(&stops, &signal);
}

} // namespace eelgrassgw

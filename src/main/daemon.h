#pragma once

/// Signal handling that the main functions of the daemons share.

#include <csignal>

namespace eelgrassgw {

/// Blocks SIGTERM and SIGINT in this thread and in all threads started later, and ignores SIGPIPE. Returns
/// the blocked signals.
inline sigset_t block_stop_signals() {
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    return stop_signals;
}

/// Waits until the process receives one of `stop_signals`.
inline void wait_for_stop(const sigset_t& stop_signals) {
    int signal = 0;
    sigwait(&stop_signals, &signal);
}

} // namespace eelgrassgw

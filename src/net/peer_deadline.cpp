#include "net/peer_deadline.h"

#include "net/connection_pool.h"

namespace eelgrassgw {

namespace {

// Few steps, since each one wakes the process. A call that is answered in time rarely lasts for one.
constexpr int steps_per_timeout = 4;

// Steps that are added while bytes wait in the socket. A peer that sends a reply byte by byte gets no more
// than twice the timeout.
constexpr int max_extra_steps = steps_per_timeout;

/// Returns whether the peer has done something that this process has not yet seen.
bool has_acted(tcp::socket& socket, peer_deadline::awaited what) {
    if (what == peer_deadline::awaited::reply) {
        return !is_open_without_input(socket);
    }
    net_error ec;
    socket.remote_endpoint(ec); // Fails until the connection is accepted.
    return !ec;
}

} // namespace

struct peer_deadline::state {
    state(tcp::socket& watched_socket, std::chrono::steady_clock::duration timeout, awaited awaited_action)
        : socket(watched_socket), what(awaited_action), step(timeout / steps_per_timeout),
          timer(watched_socket.get_executor()) {}

    tcp::socket& socket;
    awaited what;
    std::chrono::steady_clock::duration step;
    asio::steady_timer timer;
    int steps_left = steps_per_timeout;
    int extra_steps_left = max_extra_steps;
    std::chrono::steady_clock::duration extension{0}; ///< Time that the bytes that have arrived allow.
    bool armed = true;
    bool passed = false;
};

peer_deadline::peer_deadline(tcp::socket& socket, std::chrono::steady_clock::duration timeout, awaited what)
    : state_(std::make_shared<state>(socket, timeout, what)) {
    wait(state_);
}

peer_deadline::~peer_deadline() {
    state_->armed = false;
    state_->timer.cancel();
}

void peer_deadline::note_bytes(std::size_t bytes) {
    const std::chrono::duration<double> allowed(double(bytes) / double(min_reply_rate));
    state_->extension += std::chrono::duration_cast<std::chrono::steady_clock::duration>(allowed);
}

bool peer_deadline::passed() const {
    return state_->passed;
}

void peer_deadline::wait(const std::shared_ptr<state>& waiting) {
    waiting->timer.expires_after(waiting->step);
    waiting->timer.async_wait([waiting](net_error ec) {
        if (ec || !waiting->armed) {
            return;
        }
        if (waiting->steps_left == 1 && waiting->extension >= waiting->step) {
            waiting->extension -= waiting->step;
            return wait(waiting);
        }
        --waiting->steps_left;
        if (waiting->steps_left <= 0 && waiting->extra_steps_left > 0 &&
            has_acted(waiting->socket, waiting->what)) {
            --waiting->extra_steps_left;
            waiting->steps_left = 1;
        }
        if (waiting->steps_left > 0) {
            return wait(waiting);
        }
        waiting->passed = true;
        net_error ignored;
        waiting->socket.close(ignored);
    });
}

} // namespace eelgrassgw

/// A TCP proxy that injects the network faults that a test requests with POST /mode. It has these modes:
///
/// - `pass`: forwards everything.
/// - `cut`: closes all connections and refuses new ones.
/// - `freeze`: forwards nothing but keeps connections open.
/// - `lose_answers`: forwards requests and discards their answers.
/// - `lose_requests`: discards requests and keeps their connections open.
/// - `cut_answers`: forwards a request and closes the connection when its answer arrives.
/// - `delay_requests`: forwards the requests of a new connection only after `delay_ms`.
///
/// Independently of the mode, the proxy closes connections from the processes that `cut_from` lists. Tests
/// use this to partition two data centres.

#include "eelgrassgw/base/json.h"
#include "test/stand_ins/stand_in.h"

#include <gflags/gflags.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

DEFINE_string(listen, "127.0.0.1:0", "address and port on which the proxy accepts connections");
DEFINE_string(target, "", "address and port to which the proxy forwards connections");
DEFINE_string(control, "127.0.0.1:0", "address and port that accept POST /mode");

namespace eelgrassgw::stand_in {

/// Interval at which waiting threads check for a new mode.
constexpr std::chrono::milliseconds poll_interval{20};

/// Time after which a connection whose first request head is incomplete counts as one of an unknown sender.
constexpr std::chrono::seconds head_timeout{5};

/// Returns the socket address of an endpoint.
sockaddr_in to_sockaddr(const endpoint& socket_endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(socket_endpoint.port);
    inet_pton(AF_INET, socket_endpoint.address.c_str(), &address.sin_addr);
    return address;
}

/// Forwards connections from `listen` to `target` with the faults of the current mode.
class fault_proxy {
public:
    fault_proxy(endpoint listen, endpoint target) : listen_(std::move(listen)), target_(std::move(target)) {}

    /// Handles POST /mode: sets the mode, the delay and the senders to cut off, and replies with the mode.
    void set_mode(const http_request& request, http_exchange& exchange) {
        const result<Json::Value> body = parse_json(request.body);
        if (body) {
            const std::lock_guard lock(mutex_);
            mode_ = string_member(body.value(), "mode", "pass");
            delay_ = std::chrono::milliseconds(int_member(body.value(), "delay_ms"));
            const std::vector<std::string> senders = string_elements(member(body.value(), "cut_from"));
            cut_from_ = {senders.begin(), senders.end()};
        }
        Json::Value reply;
        reply["mode"] = mode();
        exchange.send(json_response(200, reply));
    }

    /// Accepts connections until the process exits. The listener is closed while the mode is `cut`.
    void run() {
        for (;;) {
            if (mode() == "cut") {
                std::this_thread::sleep_for(poll_interval);
                continue;
            }
            accept_until_cut(open_listener());
        }
    }

private:
    std::string mode() {
        const std::lock_guard lock(mutex_);
        return mode_;
    }

    /// Returns whether connections from `sender` must be closed.
    bool is_cut_from(const std::string& sender) {
        const std::lock_guard lock(mutex_);
        return cut_from_.contains(sender);
    }

    /// Reads the name of the process that opened the connection from the head of its first request, without
    /// consuming the request. Returns an empty string if the head names no sender or is
    /// still incomplete after `head_timeout`.
    static std::string read_sender(int client) {
        const std::string header = "x-eelgrass-sender: ";
        const auto deadline = std::chrono::steady_clock::now() + head_timeout;
        std::array<char, 16384> buf{};
        while (std::chrono::steady_clock::now() < deadline) {
            pollfd ready{client, POLLIN, 0};
            (void)::poll(&ready, 1, static_cast<int>(poll_interval.count()));
            const ssize_t n = ::recv(client, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
            const std::string head(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            if (n == 0 || head.find("\r\n\r\n") != std::string::npos) {
                const std::size_t header_begin = head.find(header);
                const std::size_t name_begin = header_begin + header.size();
                return header_begin == std::string::npos
                           ? ""
                           : head.substr(name_begin, head.find("\r\n", name_begin) - name_begin);
            }
        }
        return {};
    }

    /// Returns a socket that listens on the address of the proxy.
    int open_listener() const {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int enabled = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        const sockaddr_in address = to_sockaddr(listen_);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            std::perror("fault_proxy: bind");
        }
        ::listen(fd, 512);
        return fd;
    }

    /// Accepts connections until the mode is `cut`, then closes `listener`.
    void accept_until_cut(int listener) {
        while (mode() != "cut") {
            pollfd ready{listener, POLLIN, 0};
            if (::poll(&ready, 1, static_cast<int>(poll_interval.count())) <= 0) {
                continue;
            }
            const int client = ::accept(listener, nullptr, nullptr);
            if (client >= 0) {
                std::thread([this, client] { serve_connection(client); }).detach();
            }
        }
        ::close(listener);
    }

    /// Connects to the target, and forwards both directions until the connection ends.
    void serve_connection(int client) {
        const std::string mode_at_start = mode();
        if (mode_at_start == "delay_requests") {
            std::this_thread::sleep_for(delay_);
        }
        const std::string sender = read_sender(client);
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = to_sockaddr(target_);
        if (::connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            forward_both_directions(client, server, mode_at_start, sender);
        }
        ::close(server);
        ::close(client);
    }

    /// Forwards both directions until one of the peers or a fault closes the connection. The modes `cut` and
    /// `freeze` take effect at once. Any other mode that was set when the connection began stays in effect
    /// for this connection; if that mode was `pass`, the current mode applies.
    void forward_both_directions(int client, int server, const std::string& mode_at_start,
                                 const std::string& sender) {
        bool client_open = true;
        for (;;) {
            const std::string current_mode = mode();
            if (current_mode == "cut" || is_cut_from(sender)) {
                return;
            }
            if (current_mode == "freeze") {
                std::this_thread::sleep_for(poll_interval);
                continue;
            }
            std::array<pollfd, 2> ready{
                {{client, static_cast<short>(client_open ? POLLIN : 0), 0}, {server, POLLIN, 0}}};
            if (::poll(ready.data(), ready.size(), static_cast<int>(poll_interval.count())) <= 0) {
                continue;
            }
            const std::string effective_mode = mode_at_start == "pass" ? current_mode : mode_at_start;
            if (ready[0].revents != 0 && !forward(client, server, effective_mode == "lose_requests")) {
                client_open = false;
                ::shutdown(server, SHUT_WR);
            }
            if (ready[1].revents != 0) {
                if (effective_mode == "cut_answers" ||
                    !forward(server, client, effective_mode == "lose_answers")) {
                    return;
                }
            }
        }
    }

    /// Forwards or discards the bytes that have arrived. Returns false at the end of the stream or on an
    /// error, which makes a later close of `to` a reset.
    static bool forward(int from, int to, bool discard) {
        std::array<char, 16384> buf{};
        const ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
        if (n < 0) {
            const linger reset_on_close{1, 0};
            ::setsockopt(to, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        }
        if (n <= 0) {
            return false;
        }
        return discard || ::send(to, buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) == n;
    }

    endpoint listen_;
    endpoint target_;
    std::mutex mutex_;
    std::string mode_ = "pass";          ///< Name of the current mode.
    std::set<std::string> cut_from_;     ///< Names of the processes whose connections the proxy closes.
    std::chrono::milliseconds delay_{0}; ///< Delay of new connections in mode `delay_requests`.
};

} // namespace eelgrassgw::stand_in

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace eelgrassgw;
    const sigset_t stop_signals = block_stop_signals();
    (void)stop_signals;
    stand_in::fault_proxy proxy(parse_endpoint(FLAGS_listen).value(), parse_endpoint(FLAGS_target).value());
    std::thread([&proxy] { proxy.run(); }).detach();
    return stand_in::serve(FLAGS_control,
                           [&](const auto& request, auto& exchange) { proxy.set_mode(request, exchange); });
}

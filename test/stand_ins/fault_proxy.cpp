/// A TCP proxy that fails on order. Modes: pass; cut (closes connections and refuses new ones); freeze (holds
/// all bytes); lose_answers (the request arrives, its answer never does); lose_requests (the request is held
/// back for good); cut_answers (the request arrives, and the connection breaks at its answer);
/// delay_requests (connections are held for `delay_ms` first). Beside the mode, `cut_from` names processes
/// whose connections break: that is how two data centres are parted.

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

DEFINE_string(listen, "127.0.0.1:0", "address and port of the proxy");
DEFINE_string(target, "", "address and port behind it");
DEFINE_string(control, "127.0.0.1:0", "address and port for POST /mode");

namespace eelgrassgw::stand_in {

constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds head_limit{5};

sockaddr_in to_sockaddr(const endpoint& at) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    return address;
}

class fault_proxy {
public:
    fault_proxy(endpoint listen, endpoint target) : listen_(std::move(listen)), target_(std::move(target)) {}

    void control(const http_request& request, http_exchange& exchange) {
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

    bool is_cut_from(const std::string& sender) {
        const std::lock_guard lock(mutex_);
        return cut_from_.contains(sender);
    }

    /// Who opened the connection, from the head of its first request. Empty where it does not say.
    static std::string sender_of(int client) {
        const std::string header = "x-eelgrass-sender: ";
        const auto limit = std::chrono::steady_clock::now() + head_limit;
        std::array<char, 16384> buf{};
        while (std::chrono::steady_clock::now() < limit) {
            pollfd ready{client, POLLIN, 0};
            (void)::poll(&ready, 1, static_cast<int>(poll_interval.count()));
            const ssize_t n = ::recv(client, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
            const std::string head(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            if (n == 0 || head.find("\r\n\r\n") != std::string::npos) {
                const std::size_t at = head.find(header);
                const std::size_t begin = at + header.size();
                return at == std::string::npos ? "" : head.substr(begin, head.find("\r\n", begin) - begin);
            }
        }
        return {};
    }

    int open_listener() const {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = to_sockaddr(listen_);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            std::perror("fault_proxy: bind");
        }
        ::listen(fd, 512);
        return fd;
    }

    void accept_until_cut(int listener) {
        while (mode() != "cut") {
            pollfd ready{listener, POLLIN, 0};
            if (::poll(&ready, 1, static_cast<int>(poll_interval.count())) <= 0) {
                continue;
            }
            const int client = ::accept(listener, nullptr, nullptr);
            if (client >= 0) {
                std::thread([this, client] { serve(client); }).detach();
            }
        }
        ::close(listener);
    }

    void serve(int client) {
        const std::string mode_at_start = mode();
        if (mode_at_start == "delay_requests") {
            std::this_thread::sleep_for(delay_);
        }
        const std::string sender = sender_of(client);
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = to_sockaddr(target_);
        if (::connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            pump(client, server, mode_at_start, sender);
        }
        ::close(server);
        ::close(client);
    }

    void pump(int client, int server, const std::string& mode_at_start, const std::string& sender) {
        bool client_open = true;
        for (;;) {
            const std::string now = mode();
            if (now == "cut" || is_cut_from(sender)) {
                return;
            }
            if (now == "freeze") {
                std::this_thread::sleep_for(poll_interval);
                continue;
            }
            std::array<pollfd, 2> ready{
                {{client, static_cast<short>(client_open ? POLLIN : 0), 0}, {server, POLLIN, 0}}};
            if (::poll(ready.data(), ready.size(), static_cast<int>(poll_interval.count())) <= 0) {
                continue;
            }
            const std::string effective = mode_at_start == "pass" ? now : mode_at_start;
            if (ready[0].revents != 0 && !forward(client, server, effective == "lose_requests")) {
                client_open = false;
                ::shutdown(server, SHUT_WR);
            }
            if (ready[1].revents != 0) {
                if (effective == "cut_answers" || !forward(server, client, effective == "lose_answers")) {
                    return;
                }
            }
        }
    }

    /// Moves what is there. Returns false at the end of the stream.
    static bool forward(int from, int to, bool lose) {
        std::array<char, 16384> buf{};
        const ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
        if (n <= 0) {
            return false;
        }
        return lose || ::send(to, buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) == n;
    }

    endpoint listen_;
    endpoint target_;
    std::mutex mutex_;
    std::string mode_ = "pass";
    std::set<std::string> cut_from_;
    std::chrono::milliseconds delay_{0};
};

} // namespace eelgrassgw::stand_in

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace eelgrassgw;
    const sigset_t stops = block_stop_signals();
    (void)stops;
    stand_in::fault_proxy proxy(parse_endpoint(FLAGS_listen).value(), parse_endpoint(FLAGS_target).value());
    std::thread([&proxy] { proxy.run(); }).detach();
    return stand_in::serve(FLAGS_control,
                           [&](const auto& request, auto& exchange) { proxy.control(request, exchange); });
}

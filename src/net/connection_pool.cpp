#include "net/connection_pool.h"

#include "net/address.h"
#include "net/peer_deadline.h"

#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>

namespace eelgrassgw {

namespace {

using tcp_user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using tcp_keep_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using tcp_keep_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using tcp_keep_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

constexpr int probe_interval_seconds = 1;
constexpr int max_probes = 3;

} // namespace

void set_connection_options(tcp::socket& socket, std::chrono::milliseconds unacknowledged_timeout) {
    net_error ignored; // A connection without an option still works but detects a silent peer later.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(tcp_keep_idle(probe_interval_seconds), ignored);
    socket.set_option(tcp_keep_interval(probe_interval_seconds), ignored);
    socket.set_option(tcp_keep_count(max_probes), ignored);
    socket.set_option(tcp_user_timeout(static_cast<int>(unacknowledged_timeout.count())), ignored);
}

bool is_open_without_input(tcp::socket& socket) {
    net_error ec;
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
}

bool is_closed_by_peer(tcp::socket& socket) {
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) != 0; // Errors and closed descriptors are always reported.
}

task<result<std::unique_ptr<connection>>> connection_pool::open(std::string address,
                                                                std::chrono::milliseconds connect_timeout) {
    std::unique_ptr<connection> reused = take_idle(address);
    if (reused != nullptr) {
        co_return reused;
    }
    co_return co_await connect(std::move(address), connect_timeout);
}

void connection_pool::keep(std::unique_ptr<connection> idle, std::chrono::milliseconds keep_for) {
    auto& list = idle_[idle->peer];
    const bool has_room =
        list.size() < max_idle_connections_per_peer && idle->refused_requests.size() <= max_refused_requests;
    if (!has_room || keep_for <= std::chrono::milliseconds(0)) {
        return;
    }
    idle->keep_until = clock::now() + keep_for;
    list.push_back(std::move(idle));
}

void connection_pool::put_back(std::unique_ptr<connection> unused) {
    const auto now = clock::now();
    const auto time_left = std::chrono::floor<std::chrono::milliseconds>(unused->keep_until - now);
    const bool is_new = unused->keep_until <= now;
    keep(std::move(unused), is_new ? default_reuse_time : time_left);
}

void connection_pool::close_idle(const std::string& address) {
    idle_.erase(address);
}

void connection_pool::close_stale() {
    const auto now = clock::now();
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [&](const auto& each) {
            return each->keep_until <= now || !is_open_without_input(each->socket);
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

std::unique_ptr<connection> connection_pool::take_idle(const std::string& address) {
    const auto it = idle_.find(address);
    while (it != idle_.end() && !it->second.empty()) {
        std::unique_ptr<connection> newest = std::move(it->second.back());
        it->second.pop_back();
        if (newest->keep_until > clock::now() && is_open_without_input(newest->socket)) {
            return newest;
        }
    }
    return nullptr;
}

task<result<std::unique_ptr<connection>>>
connection_pool::connect(std::string address, std::chrono::milliseconds connect_timeout) {
    const result<tcp::endpoint> endpoint = parse_address(address);
    if (!endpoint) {
        co_return endpoint.error();
    }
    auto created = std::make_unique<connection>(tcp::socket(executor_));
    created->peer = address;
    net_error ec;
    created->socket.open(endpoint.value().protocol(), ec);
    if (!ec) {
        set_connection_options(created->socket, unacknowledged_timeout);
        const peer_deadline deadline(created->socket, connect_timeout, peer_deadline::awaited::connection);
        co_await created->socket.async_connect(endpoint.value(), with_error(ec));
        if (deadline.passed()) {
            ec = asio::error::timed_out;
        }
    }
    if (ec) {
        co_return make_failure(errc::unreachable, "connect", address, ec.message());
    }
    ++opened_;
    co_return created;
}

} // namespace eelgrassgw

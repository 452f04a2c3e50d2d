#pragma once

/// A link of limited rate between a process and a server, for tests.

#include "net/address.h"
#include "net/http_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace eelgrassgw {

/// Forwards connections to a server. What the server sends passes at `bytes_per_s`, on all connections
/// together. Holds back little, so that what the process does not read is not sent. Not thread-safe.
/// Precondition: outlives the context's tasks.
class paced_link {
public:
    paced_link(asio::io_context& context, std::string address, std::string server, double bytes_per_s)
        : context_(context), address_(std::move(address)), server_(std::move(server)),
          bytes_per_s_(bytes_per_s) {
        asio::co_spawn(context_, accept(), asio::detached);
    }
    const std::string& address() const { return address_; }

private:
    using clock = std::chrono::steady_clock;
    using buffer = std::array<char, 16U << 10U>;

    struct connection_pair {
        explicit connection_pair(tcp::socket accepted)
            : client(std::move(accepted)), server(client.get_executor()) {}
        tcp::socket client;
        tcp::socket server;
    };

    task<void> accept() {
        auto acceptor = listen_on(context_, address_);
        for (;;) {
            net_error ec;
            tcp::socket client = co_await acceptor.value().async_accept(with_error(ec));
            if (!ec) {
                asio::co_spawn(context_, forward(std::make_shared<connection_pair>(std::move(client))),
                               asio::detached);
            }
        }
    }

    task<void> forward(std::shared_ptr<connection_pair> pair) {
        net_error ec;
        const tcp::endpoint endpoint = parse_address(server_).value();
        pair->server.open(endpoint.protocol());
        pair->server.set_option(asio::socket_base::receive_buffer_size(int(sizeof(buffer))));
        pair->client.set_option(asio::socket_base::send_buffer_size(int(sizeof(buffer))));
        co_await pair->server.async_connect(endpoint, with_error(ec));
        asio::co_spawn(context_, pump(pair, pair->client, pair->server, false), asio::detached);
        co_await pump(pair, pair->server, pair->client, true);
    }

    task<void> pump(std::shared_ptr<connection_pair> pair, tcp::socket& from, tcp::socket& to, bool paced) {
        buffer bytes{};
        net_error ec;
        while (!ec) {
            const std::size_t n = co_await from.async_read_some(asio::buffer(bytes), with_error(ec));
            if (paced && n > 0) {
                co_await wait_for_turn(n);
            }
            co_await asio::async_write(to, asio::buffer(bytes, n), with_error(ec));
        }
        pair->client.close(ec);
        pair->server.close(ec);
    }

    task<void> wait_for_turn(std::size_t bytes) {
        const std::chrono::duration<double> transfer(double(bytes) / bytes_per_s_);
        free_at_ = std::max(free_at_, clock::now()) + std::chrono::duration_cast<clock::duration>(transfer);
        co_await sleep_for(free_at_ - clock::now());
    }

    asio::io_context& context_;
    std::string address_;
    std::string server_;
    double bytes_per_s_;
    clock::time_point free_at_{};
};

} // namespace eelgrassgw

#include "fault_link.h"

#include "net/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>

namespace eelgrassgw {

namespace {

void reset_connection(tcp::socket& socket) {
    net_error ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

fault_link::fault_link(asio::io_context& context, const std::string& listen, std::string target)
    : context_(context), listen_(listen) {
    state_->target = std::move(target);
    start_listening();
}

void fault_link::start_listening() {
    auto acceptor = listen_on(context_, listen_);
    EXPECT_TRUE(acceptor.ok()) << acceptor.error().text();
    acceptor_ = std::make_shared<tcp::acceptor>(std::move(acceptor.value()));
    asio::co_spawn(context_, accept_connections(acceptor_, state_), asio::detached);
}

task<void> fault_link::go_down(std::chrono::milliseconds duration) {
    net_error ignored;
    acceptor_->close(ignored);
    reset_connections();
    co_await sleep_for(duration);
    start_listening();
}

void fault_link::reset_connections() {
    for (const auto& each : state_->open_sockets) {
        if (const auto socket = each.lock()) {
            reset_connection(*socket);
        }
    }
    state_->open_sockets.clear();
}

task<void> fault_link::accept_connections(std::shared_ptr<tcp::acceptor> acceptor,
                                          std::shared_ptr<shared_state> state) {
    while (acceptor->is_open()) {
        net_error ec;
        auto client = std::make_shared<tcp::socket>(co_await acceptor->async_accept(with_error(ec)));
        if (!ec) {
            asio::co_spawn(acceptor->get_executor(), connect_to_target(client, state), asio::detached);
        }
    }
}

task<void> fault_link::connect_to_target(std::shared_ptr<tcp::socket> client,
                                         std::shared_ptr<shared_state> state) {
    auto server = std::make_shared<tcp::socket>(client->get_executor());
    const tcp::endpoint target = parse_address(state->target).value();
    net_error ec;
    co_await server->async_connect(target, with_error(ec));
    if (ec) {
        reset_connection(*client);
        co_return;
    }
    std::erase_if(state->open_sockets, [](const auto& each) { return each.expired(); });
    state->open_sockets.push_back(client);
    state->open_sockets.push_back(server);
    asio::co_spawn(client->get_executor(), forward_bytes(client, server, state, false), asio::detached);
    asio::co_spawn(client->get_executor(), forward_bytes(server, client, state, true), asio::detached);
}

task<void> fault_link::forward_bytes(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                                     std::shared_ptr<shared_state> state, bool carries_answers) {
    std::array<char, 16384> bytes{};
    // TCP never skips bytes, so after a loss all later bytes of this direction are lost too.
    bool lost = false;
    net_error ec;
    while (!ec) {
        const std::size_t n = co_await from->async_read_some(asio::buffer(bytes), with_error(ec));
        if (state->fault == link_fault::delayed) {
            co_await sleep_for(forwarding_delay);
        }
        lost = lost || state->fault == link_fault::silent ||
               (state->fault == link_fault::answers_dropped && carries_answers);
        if (n > 0 && !lost) {
            net_error write_error;
            co_await asio::async_write(*to, asio::buffer(bytes.data(), n), with_error(write_error));
        }
    }
    // The end of a connection must not arrive in place of bytes that were lost, nor a close in place of a
    // reset.
    if (ec != asio::error::eof) {
        reset_connection(*to);
    } else if (!lost) {
        net_error ignored;
        to->shutdown(tcp::socket::shutdown_send, ignored);
    }
}

} // namespace eelgrassgw

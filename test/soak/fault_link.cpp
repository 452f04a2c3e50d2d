#include "fault_link.h"

#include "net/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>

namespace eelgrassgw {

namespace {

void reset(tcp::socket& socket) {
    net_error ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

fault_link::fault_link(asio::io_context& context, const std::string& listen, std::string target) {
    state_->target = std::move(target);
    auto acceptor = listen_on(context, listen);
    EXPECT_TRUE(acceptor.ok()) << acceptor.error().text();
    asio::co_spawn(context, accept_all(std::move(acceptor.value()), state_), asio::detached);
}

void fault_link::reset_connections() {
    for (const auto& each : state_->open) {
        if (const auto socket = each.lock()) {
            reset(*socket);
        }
    }
    state_->open.clear();
}

task<void> fault_link::accept_all(tcp::acceptor acceptor, std::shared_ptr<shared_state> state) {
    for (;;) {
        net_error ec;
        auto near = std::make_shared<tcp::socket>(co_await acceptor.async_accept(with_error(ec)));
        if (!ec) {
            asio::co_spawn(acceptor.get_executor(), join(near, state), asio::detached);
        }
    }
}

task<void> fault_link::join(std::shared_ptr<tcp::socket> near, std::shared_ptr<shared_state> state) {
    auto far = std::make_shared<tcp::socket>(near->get_executor());
    const tcp::endpoint target = parse_address(state->target).value();
    net_error ec;
    co_await far->async_connect(target, with_error(ec));
    if (ec) {
        reset(*near);
        co_return;
    }
    std::erase_if(state->open, [](const auto& each) { return each.expired(); });
    state->open.push_back(near);
    state->open.push_back(far);
    asio::co_spawn(near->get_executor(), pump(near, far, state, false), asio::detached);
    asio::co_spawn(near->get_executor(), pump(far, near, state, true), asio::detached);
}

task<void> fault_link::pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                            std::shared_ptr<shared_state> state, bool carries_answers) {
    std::array<char, 16384> bytes{};
    bool lost = false; // Later bytes of a direction never arrive without the earlier ones.
    net_error ec;
    while (!ec) {
        const std::size_t n = co_await from->async_read_some(asio::buffer(bytes), with_error(ec));
        if (state->fault == link_fault::delayed) {
            co_await sleep_for(delay);
        }
        lost = lost || state->fault == link_fault::silent ||
               (state->fault == link_fault::answers_dropped && carries_answers);
        if (n > 0 && !lost) {
            net_error write_error;
            co_await asio::async_write(*to, asio::buffer(bytes.data(), n), with_error(write_error));
        }
    }
    net_error ignored;
    to->shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace eelgrassgw

#include "net/notice_channel.h"

#include "eelgrassgw/base/json.h"
#include "net/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace eelgrassgw {

namespace {

using udp = asio::ip::udp;

result<udp::endpoint> udp_address(const std::string& text) {
    const result<tcp::endpoint> parsed = parse_address(text);
    if (!parsed) {
        return parsed.error();
    }
    return udp::endpoint(parsed.value().address(), parsed.value().port());
}

} // namespace

result<done> notice_channel::start(const std::string& address) {
    const result<udp::endpoint> endpoint = udp_address(address);
    if (!endpoint) {
        return endpoint.error();
    }
    net_error ec;
    socket_.open(endpoint.value().protocol(), ec);
    if (!ec) {
        socket_.bind(endpoint.value(), ec);
    }
    if (!ec) {
        socket_.non_blocking(true, ec);
    }
    if (ec) {
        return make_failure(errc::unreachable, "listen for notices", address, ec.message());
    }
    asio::co_spawn(socket_.get_executor(), receive(), asio::detached);
    return done{};
}

void notice_channel::set_peers(const std::vector<std::string>& peers) {
    peers_.clear();
    for (const std::string& each : peers) {
        const result<udp::endpoint> endpoint = udp_address(each);
        if (endpoint && peers_.size() < max_peers) {
            peers_.push_back({each, endpoint.value()});
        }
    }
}

std::vector<std::string> notice_channel::peers() const {
    std::vector<std::string> addresses;
    for (const peer& each : peers_) {
        addresses.push_back(each.address);
    }
    return addresses;
}

void notice_channel::send(const Json::Value& notice, std::size_t max_recipients) {
    const std::string text = to_text(notice);
    for (std::size_t i = 0; i < std::min(max_recipients, peers_.size()); ++i) {
        net_error ignored; // A send error has the same effect as a lost datagram.
        socket_.send_to(asio::buffer(text), peers_[i].endpoint, 0, ignored);
    }
}

void notice_channel::send_to(const std::string& address, const Json::Value& notice) {
    const result<udp::endpoint> endpoint = udp_address(address);
    if (endpoint && socket_.is_open()) {
        net_error ignored; // As in `send`.
        socket_.send_to(asio::buffer(to_text(notice)), endpoint.value(), 0, ignored);
    }
}

result<done> notice_channel::handle_datagram(const std::string& datagram) {
    const result<Json::Value> notice = parse_json(datagram);
    if (!notice) {
        return notice.error();
    }
    const auto it = handlers_.find(string_member(notice.value(), "kind"));
    return it == handlers_.end() ? result<done>(done{}) : it->second(notice.value());
}

task<void> notice_channel::receive() {
    std::vector<char> buf(max_notice_bytes);
    for (;;) {
        net_error ec;
        udp::endpoint sender;
        const std::size_t n = co_await socket_.async_receive_from(asio::buffer(buf), sender, with_error(ec));
        if (ec == asio::error::operation_aborted || !socket_.is_open()) {
            co_return;
        }
        if (!ec) {
            // A malformed datagram from another sender is ignored.
            (void)handle_datagram(std::string(buf.data(), n));
        }
    }
}

} // namespace eelgrassgw

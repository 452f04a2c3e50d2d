#include "placing/prompt_notices.h"

#include "eelgrassgw/base/json.h"
#include "net/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>

namespace eelgrassgw {

namespace {

using udp = asio::ip::udp;

constexpr std::size_t max_notice_bytes = 1024;

result<udp::endpoint> udp_address(const std::string& text) {
    const result<tcp::endpoint> parsed = parse_address(text);
    if (!parsed) {
        return parsed.error();
    }
    return udp::endpoint(parsed.value().address(), parsed.value().port());
}

} // namespace

prompt_notices::prompt_notices(asio::io_context& context, backend_directory& directory, std::string router)
    : directory_(directory), router_(std::move(router)), socket_(context) {}

result<done> prompt_notices::start(const std::string& address) {
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
        return make_failure(errc::unreachable, "listen for prompt notices", address, ec.message());
    }
    asio::co_spawn(socket_.get_executor(), receive(), asio::detached);
    return done{};
}

void prompt_notices::set_peers(const std::vector<std::string>& peers) {
    peers_.clear();
    for (const std::string& each : peers) {
        const result<udp::endpoint> endpoint = udp_address(each);
        if (endpoint && peers_.size() < max_peers) {
            peers_.push_back(endpoint.value());
        }
    }
}

std::uint64_t prompt_notices::announce(const std::string& server, std::int64_t tokens) {
    send_notice(server, ++last_number_, tokens);
    return last_number_;
}

void prompt_notices::withdraw(const std::string& server, std::uint64_t number) {
    send_notice(server, number, 0);
}

void prompt_notices::send_notice(const std::string& server, std::uint64_t number, std::int64_t tokens) {
    Json::Value notice;
    notice["from"] = router_;
    notice["number"] = Json::UInt64(number);
    notice["server"] = server;
    notice["tokens"] = Json::Int64(tokens);
    const std::string text = to_text(notice);
    for (const udp::endpoint& peer : peers_) {
        net_error ignored; // A send error has the same effect as a lost datagram.
        socket_.send_to(asio::buffer(text), peer, 0, ignored);
    }
}

result<done> prompt_notices::handle_notice(const std::string& datagram, clock::time_point now) {
    const result<Json::Value> notice = parse_json(datagram);
    if (!notice) {
        return notice.error();
    }
    const std::string from = string_member(notice.value(), "from");
    const std::string server = string_member(notice.value(), "server");
    const std::int64_t tokens = int_member(notice.value(), "tokens", -1);
    if (from.empty() || server.empty() || tokens < 0) {
        return make_failure(errc::malformed, "parse prompt notice", from,
                            "field \"from\" or \"server\" is missing, or \"tokens\" is not a number from 0");
    }
    const auto tracked = directory_.find(server);
    if (tracked == nullptr || from == router_) {
        return done{};
    }
    std::erase_if(tracked->announced_prompts,
                  [&](const auto& each) { return each.second.expires_at <= now; });
    const std::string key = from + "#" + std::to_string(int_member(notice.value(), "number"));
    if (tokens == 0) {
        tracked->announced_prompts.erase(key);
    } else {
        tracked->announced_prompts[key] = {tokens, now + notice_lifetime};
    }
    return done{};
}

task<void> prompt_notices::receive() {
    std::array<char, max_notice_bytes> buf{};
    for (;;) {
        net_error ec;
        udp::endpoint sender;
        const std::size_t n = co_await socket_.async_receive_from(asio::buffer(buf), sender, with_error(ec));
        if (ec == asio::error::operation_aborted || !socket_.is_open()) {
            co_return;
        }
        if (!ec) {
            // A malformed datagram from another sender is ignored.
            (void)handle_notice(std::string(buf.data(), n), clock::now());
        }
    }
}

unread_prompt::unread_prompt(prompt_notices& notices, std::shared_ptr<tracked_backend> server,
                             std::int64_t tokens)
    : notices_(notices), server_(std::move(server)), tokens_(tokens) {
    server_->unread_tokens += tokens_;
    if (tokens_ >= prompt_notices::min_announced_tokens) {
        notice_number_ = notices_.announce(server_->server.id, tokens_);
    }
}

void unread_prompt::mark_read() {
    server_->unread_tokens -= std::exchange(tokens_, 0);
    if (notice_number_) {
        notices_.withdraw(server_->server.id, *notice_number_);
        notice_number_.reset();
    }
}

} // namespace eelgrassgw

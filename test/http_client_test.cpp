#include "eelgrassgw/transport/http_client.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <thread>

namespace eelgrassgw {
namespace {

/// A peer that answers no connection any more, as a VM that is gone: its queue is full, so that the kernel
/// drops what comes.
class vanished_peer {
public:
    vanished_peer() {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(::listen(listener_, 0), 0);
        socklen_t n = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
        at_ = {"127.0.0.1", ntohs(address.sin_port)};
        for (int& fd : waiting_) {
            fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            (void)::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
        }
    }

    ~vanished_peer() {
        for (const int fd : waiting_) {
            ::close(fd);
        }
        ::close(listener_);
    }

    vanished_peer(const vanished_peer&) = delete;
    vanished_peer& operator=(const vanished_peer&) = delete;

    const endpoint& at() const { return at_; }

private:
    int listener_ = -1;
    std::array<int, 8> waiting_{};
    endpoint at_;
};

/// Waits for `call`, but not as long as the kernel would try.
template <class Call>
errc outcome_within_limit(Call call) {
    constexpr std::chrono::seconds longest{20};
    auto outcome = std::async(std::launch::async, call);
    EXPECT_EQ(outcome.wait_for(longest), std::future_status::ready) << "the call goes on";
    const auto reply = outcome.get();
    return reply.failed_with(errc::unreachable) ? errc::unreachable : errc::outcome_unknown;
}

const http_timeouts short_timeouts{std::chrono::milliseconds(1000), std::chrono::milliseconds(1000)};

/// A peer on loopback that answers each connection that brings a request with the same bytes, then closes.
class scripted_peer {
public:
    explicit scripted_peer(std::string answer) : answer_(std::move(answer)) {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(::listen(listener_, 16), 0);
        socklen_t n = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
        at_ = {"127.0.0.1", ntohs(address.sin_port)};
        thread_ = std::thread([this] { serve(); });
    }

    ~scripted_peer() {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

    const endpoint& at() const { return at_; }
    int requests() const { return requests_; }

private:
    void serve() {
        for (;;) {
            const int client = ::accept(listener_, nullptr, nullptr);
            if (client < 0) {
                return;
            }
            std::array<char, 4096> buf{};
            if (::recv(client, buf.data(), buf.size(), 0) > 0) {
                ++requests_;
                (void)::send(client, answer_.data(), answer_.size(), MSG_NOSIGNAL);
            }
            ::close(client);
        }
    }

    std::string answer_;
    int listener_ = -1;
    endpoint at_;
    std::atomic<int> requests_{0};
    std::thread thread_;
};

http_request post() {
    http_request request;
    request.method = "POST";
    request.body = "{}";
    return request;
}

TEST(http_client_test, call_is_sent_once_although_the_peer_closes_without_an_answer) {
    const scripted_peer peer("");
    EXPECT_TRUE(call_http(peer.at(), post(), short_timeouts).failed_with(errc::outcome_unknown));
    EXPECT_EQ(peer.requests(), 1);
}

TEST(http_client_test, stream_is_opened_once_although_the_peer_closes_without_an_answer) {
    const scripted_peer peer("");
    EXPECT_TRUE(open_http_stream(peer.at(), post(), short_timeouts).failed_with(errc::outcome_unknown));
    EXPECT_EQ(peer.requests(), 1);
}

TEST(http_client_test, peer_that_does_not_listen_is_unreachable) {
    endpoint closed;
    {
        const scripted_peer peer("");
        closed = peer.at();
    }
    EXPECT_TRUE(call_http(closed, post(), short_timeouts).failed_with(errc::unreachable));
}

TEST(http_client_test, body_shorter_than_announced_is_an_unknown_outcome) {
    const scripted_peer peer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    EXPECT_TRUE(call_http(peer.at(), post(), short_timeouts).failed_with(errc::outcome_unknown));
}

TEST(http_client_test, stream_cut_off_inside_a_chunk_reads_as_an_ordinary_end) {
    const scripted_peer peer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nline1\n\r\n20\r\nhal");
    const auto stream = open_http_stream(peer.at(), post(), short_timeouts);
    ASSERT_TRUE(stream.ok()) << stream.error().text();
    std::string line;
    EXPECT_TRUE(stream.value()->read_line(line));
    EXPECT_EQ(line, "line1");
    EXPECT_FALSE(stream.value()->read_line(line));
}

TEST(http_client_test, peer_that_drops_connections_is_unreachable_within_the_limit) {
    const vanished_peer peer;
    const auto call = [&] {
        return call_http(peer.at(), http_request{}, short_timeouts);
    };
    EXPECT_EQ(outcome_within_limit(call), errc::unreachable);
}

TEST(http_client_test, pool_gives_a_peer_up_that_drops_connections) {
    const vanished_peer peer;
    http_connection_pool pool(peer.at());
    const auto call = [&] {
        return pool.call(http_request{}, short_timeouts);
    };
    EXPECT_EQ(outcome_within_limit(call), errc::unreachable);
}

} // namespace
} // namespace eelgrassgw

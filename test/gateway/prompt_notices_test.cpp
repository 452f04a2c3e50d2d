/// Tests the notices about long prompts, and that they shorten the waiting time of other requests.

#include "placing/prompt_notices.h"

#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/json.h"
#include "loopback.h"
#include "placing/placement.h"
#include "task_runner.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

backend_directory::entry entry_of(const std::string& id) {
    return {{id, "models", "10.0.0.1:80", "dc", "v1", 64, false, 0}, 1};
}

class prompt_notices_test : public ::testing::Test {
protected:
    prompt_notices_test() { directory.put(entry_of("s1")); }

    std::int64_t unread(tracked_backend::clock::duration later = 0ms) {
        return directory.find("s1")->known_unread_tokens(now + later);
    }

    static std::string notice(int number, std::int64_t tokens, const std::string& server = "s1") {
        return R"({"from":"other","number":)" + std::to_string(number) + R"(,"server":")" + server +
               R"(","tokens":)" + std::to_string(tokens) + "}";
    }

    result<done> handle(const std::string& datagram) {
        const auto parsed = parse_json(datagram);
        return parsed ? notices.handle_notice(parsed.value(), now) : channel.handle_datagram(datagram);
    }

    asio::io_context context;
    backend_directory directory;
    notice_channel channel{context};
    prompt_notices notices{channel, directory, "self"};
    tracked_backend::clock::time_point now = tracked_backend::clock::now();
};

TEST_F(prompt_notices_test, announced_prompt_counts_until_it_is_withdrawn) {
    ASSERT_TRUE(handle(notice(1, 50000)).ok());
    EXPECT_EQ(50000, unread());
    ASSERT_TRUE(handle(notice(1, 0)).ok());
    EXPECT_EQ(0, unread());
}

TEST_F(prompt_notices_test, prompt_that_is_never_withdrawn_expires) {
    ASSERT_TRUE(handle(notice(1, 50000)).ok());
    EXPECT_EQ(0, unread(prompt_notices::notice_lifetime));
}

TEST_F(prompt_notices_test, notice_that_arrives_twice_counts_once) {
    ASSERT_TRUE(handle(notice(1, 50000)).ok());
    ASSERT_TRUE(handle(notice(1, 50000)).ok());
    EXPECT_EQ(50000, unread());
}

TEST_F(prompt_notices_test, notice_about_an_unknown_server_is_ignored) {
    EXPECT_TRUE(handle(notice(1, 50000, "stranger")).ok());
    EXPECT_EQ(0, unread());
}

TEST_F(prompt_notices_test, malformed_notices_are_rejected) {
    EXPECT_FALSE(handle("bytes").ok());
    EXPECT_FALSE(handle(R"({"from":"other","server":"s1","tokens":-5})").ok());
    EXPECT_FALSE(handle(notice(1, std::numeric_limits<std::int64_t>::max())).ok());
    EXPECT_FALSE(handle(R"({"from":"other","server":"s1","tokens":1e999})").ok());
    EXPECT_FALSE(handle(std::string(4000, '[') + std::string(4000, ']')).ok());
    EXPECT_EQ(0, unread());
    EXPECT_EQ(0, unread());
}

TEST_F(prompt_notices_test, own_prompt_counts_until_its_first_event) {
    unread_prompt own(notices, directory.find("s1"), 900);
    EXPECT_EQ(900, unread());
    own.mark_read();
    EXPECT_EQ(0, unread());
}

TEST_F(prompt_notices_test, long_prompts_are_announced_over_the_network) {
    backend_directory elsewhere;
    elsewhere.put(entry_of("s1"));
    notice_channel other_channel(context);
    const prompt_notices other(other_channel, elsewhere, "other");
    const std::string address = next_loopback_address();
    ASSERT_TRUE(other_channel.start(address).ok());
    ASSERT_TRUE(channel.start(next_loopback_address()).ok());
    channel.set_peers({address});
    run_task(context, [&]() -> task<void> {
        unread_prompt own(notices, directory.find("s1"), 50000);
        co_await sleep_for(50ms);
        EXPECT_EQ(50000, elsewhere.find("s1")->known_unread_tokens(tracked_backend::clock::now()));
        own.mark_read();
        co_await sleep_for(50ms);
        EXPECT_EQ(0, elsewhere.find("s1")->known_unread_tokens(tracked_backend::clock::now()));
    });
}

/// Simulates requests of two kinds, without a network, on servers that read one prompt after the other. The
/// load is 80 requests per second from 5 routers to 9 servers. A quarter of the requests have long prompts,
/// with a mean of 6600 unshared tokens and some ten times as long; the other prompts have 1200 tokens.
class prompt_load {
public:
    /// Returns the fraction of the short requests whose prompt was read more than 400 ms after their arrival.
    double late_share(bool with_notices) {
        constexpr int routers = 5;
        constexpr int requests = 8000;
        constexpr double ms_between = 12.5;
        std::mt19937 random(1);
        std::exponential_distribution<double> pause(1 / ms_between);
        std::lognormal_distribution<double> long_prompt(std::log(6600) - 0.7, 1.2);
        std::vector<backend_directory> views(routers);
        for (int i = 0; i < 9; ++i) {
            for (backend_directory& view : views) {
                view.put(entry_of("s" + std::to_string(i)));
            }
        }
        double at = 0;
        int short_requests = 0;
        int late_requests = 0;
        for (int i = 0; i < requests; ++i) {
            at += pause(random);
            const bool is_long = random() % 4 == 0;
            const auto tokens =
                is_long ? std::min<std::int64_t>(60000, std::int64_t(long_prompt(random))) : 1200;
            placement_request request;
            request.shared_prompt_part = (is_long ? "long-" : "short-") + std::to_string(random() % 100);
            request.shared_tokens = is_long ? 5000 : 500;
            const std::size_t router = random() % routers;
            set_loads(views, router, at, with_notices);
            const auto chosen =
                choose_backend_server(views[router].ready_servers("models"), request, {}).server;
            const double read_at = read_prompt(chosen->server.id, router, at, tokens);
            short_requests += is_long ? 0 : 1;
            late_requests += !is_long && read_at - at > 400 ? 1 : 0;
        }
        return double(late_requests) / short_requests;
    }

private:
    struct prompt {
        double read_at = 0; ///< Simulated time in milliseconds at which the prompt has been read.
        std::size_t router = 0;
        std::int64_t tokens = 0;
    };

    /// Sets the unread tokens that a router knows of: its own prompts and the announced prompts of other
    /// routers.
    void set_loads(std::vector<backend_directory>& views, std::size_t router, double at, bool with_notices) {
        for (const auto& server : views[router].all()) {
            server->unread_tokens = 0;
            for (const prompt& each : queues_[server->server.id]) {
                const bool announced = with_notices && each.tokens >= prompt_notices::min_announced_tokens;
                server->unread_tokens +=
                    each.read_at > at && (each.router == router || announced) ? each.tokens : 0;
            }
        }
    }

    /// Adds a prompt to the server's queue and returns the time in milliseconds at which it has been read.
    /// Servers read 125 tokens per millisecond, and long prompts more slowly because each token attends to
    /// all tokens before it.
    double read_prompt(const std::string& server, std::size_t router, double at, std::int64_t tokens) {
        std::vector<prompt>& queue = queues_[server];
        std::erase_if(queue, [&](const prompt& each) { return each.read_at <= at; });
        const double begin = queue.empty() ? at : std::max(at, queue.back().read_at);
        const double n = double(tokens);
        const double read_at = begin + n / 125 + n * n / 2 * 0.263e-6;
        queue.push_back({read_at, router, tokens});
        return read_at;
    }

    std::map<std::string, std::vector<prompt>> queues_;
};

TEST(prompt_load_test, notices_keep_short_requests_from_waiting_behind_long_prompts) {
    const double without = prompt_load().late_share(false);
    const double with = prompt_load().late_share(true);
    EXPECT_GT(without, 0.01)
        << "without notices, the simulated load delays too few short requests for a comparison";
    EXPECT_LT(with, 0.001);
}

} // namespace
} // namespace eelgrassgw

/// Long prompts that routers tell one another of, and what callers gain by it.

#include "placing/prompt_notices.h"

#include "eelgrassgw/base/hash.h"
#include "loopback.h"
#include "placing/placement.h"
#include "task_runner.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;

backend_directory::entry entry_of(const std::string& id) {
    return {{id, "models", "10.0.0.1:80", "dc", 64, false, 0}, 1};
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

    asio::io_context context;
    backend_directory directory;
    prompt_notices notices{context, directory, "self"};
    tracked_backend::clock::time_point now = tracked_backend::clock::now();
};

TEST_F(prompt_notices_test, announced_prompt_counts_until_it_is_withdrawn) {
    ASSERT_TRUE(notices.take(notice(1, 50000), now).ok());
    EXPECT_EQ(50000, unread());
    ASSERT_TRUE(notices.take(notice(1, 0), now).ok());
    EXPECT_EQ(0, unread());
}

TEST_F(prompt_notices_test, prompt_whose_end_was_never_told_is_forgotten) {
    ASSERT_TRUE(notices.take(notice(1, 50000), now).ok());
    EXPECT_EQ(0, unread(prompt_notices::longest_read));
}

TEST_F(prompt_notices_test, notice_that_arrives_twice_counts_once) {
    ASSERT_TRUE(notices.take(notice(1, 50000), now).ok());
    ASSERT_TRUE(notices.take(notice(1, 50000), now).ok());
    EXPECT_EQ(50000, unread());
}

TEST_F(prompt_notices_test, notice_of_an_unknown_server_changes_nothing) {
    EXPECT_TRUE(notices.take(notice(1, 50000, "stranger"), now).ok());
    EXPECT_EQ(0, unread());
}

TEST_F(prompt_notices_test, bytes_that_are_no_notice_are_rejected) {
    EXPECT_FALSE(notices.take("bytes", now).ok());
    EXPECT_FALSE(notices.take(R"({"from":"other","server":"s1","tokens":-5})", now).ok());
    EXPECT_EQ(0, unread());
}

TEST_F(prompt_notices_test, own_prompt_counts_until_its_first_event) {
    unread_prompt own(notices, directory.find("s1"), 900);
    EXPECT_EQ(900, unread());
    own.note_read();
    EXPECT_EQ(0, unread());
}

TEST_F(prompt_notices_test, routers_hear_of_long_prompts_over_the_network) {
    backend_directory elsewhere;
    elsewhere.put(entry_of("s1"));
    prompt_notices other(context, elsewhere, "other");
    const std::string address = next_loopback_address();
    ASSERT_TRUE(other.start(address).ok());
    ASSERT_TRUE(notices.start(next_loopback_address()).ok());
    notices.set_peers({address});
    run_task(context, [&]() -> task<void> {
        unread_prompt own(notices, directory.find("s1"), 50000);
        co_await sleep_for(50ms);
        EXPECT_EQ(50000, elsewhere.find("s1")->known_unread_tokens(tracked_backend::clock::now()));
        own.note_read();
        co_await sleep_for(50ms);
        EXPECT_EQ(0, elsewhere.find("s1")->known_unread_tokens(tracked_backend::clock::now()));
    });
}

/// Plays requests of two kinds on servers that read one prompt after the other, in simulated time, without a
/// network. Load: 80 requests a second at 9 servers from 5 routers; a quarter has prompts of 6.6 k own tokens
/// on the mean, some of them ten times as long; the rest has 1.2 k.
class prompt_load {
public:
    /// Returns the share of the short requests whose prompt was read later than 400 ms after they came.
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
        int shorts = 0;
        int late = 0;
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
            const auto chosen = choose_backend_server(views[router].ready_in("models"), request, {});
            const double read_at = read(chosen->server.id, router, at, tokens);
            shorts += is_long ? 0 : 1;
            late += !is_long && read_at - at > 400 ? 1 : 0;
        }
        return double(late) / shorts;
    }

private:
    struct prompt {
        double read_at = 0; ///< Milliseconds.
        std::size_t router = 0;
        std::int64_t tokens = 0;
    };

    /// What a router knows: its own prompts, and long ones of others.
    void set_loads(std::vector<backend_directory>& views, std::size_t router, double at, bool with_notices) {
        for (const auto& server : views[router].all()) {
            server->unread_tokens = 0;
            for (const prompt& each : queues_[server->server.id]) {
                const bool told = with_notices && each.tokens >= prompt_notices::worth_telling;
                server->unread_tokens +=
                    each.read_at > at && (each.router == router || told) ? each.tokens : 0;
            }
        }
    }

    /// Servers read 125 tokens a millisecond, and long prompts more slowly, since each token attends to all
    /// before.
    double read(const std::string& server, std::size_t router, double at, std::int64_t tokens) {
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

TEST(prompt_load_test, notices_spare_short_requests_the_wait_behind_long_prompts) {
    const double without = prompt_load().late_share(false);
    const double with = prompt_load().late_share(true);
    EXPECT_GT(without, 0.01) << "the load does not show the trouble";
    EXPECT_LT(with, 0.001);
}

} // namespace
} // namespace eelgrassgw

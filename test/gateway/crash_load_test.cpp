/// Tests the quarantine of prompt parts under the load of a simulated fleet.

#include "router_view.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// How the routers of a simulated fleet reach one another.
enum class sharing { notices_and_store, notices_only, store_only };

/// Plays requests of several routers to servers that crash under one prompt part, without a network. A
/// request takes its turn on a server after a random time, and its answer takes longer than the crash that
/// the deadly part causes at its beginning. A server is back after some seconds.
class crash_load {
public:
    static constexpr int router_count = 5;
    static constexpr int server_count = 12;
    static constexpr milliseconds step{5};
    static constexpr milliseconds contact_time{3000};

    crash_load(sharing how, unsigned seed, double deadly_share)
        : how_(how), random_(seed), deadly_share_(deadly_share), routers_(router_count),
          servers_(server_count) {}

    void play(std::chrono::seconds time) {
        for (milliseconds played{0}; played < time; played += step) {
            now_.steady += step;
            now_.wall += step;
            if (random_() % 1000 < 600) {
                send_request();
            }
            for (server_state& each : servers_) {
                run_server(each);
            }
            if (played % 250ms == 0ms) {
                share();
            }
        }
    }

    int deadly_after_bound = 0; ///< Deadly requests that reached servers after the bound.
    int sound_rejected = 0;
    int sound_sent = 0;
    int crashes = 0;

private:
    struct running_request {
        std::vector<std::string> parts;
        std::size_t router = 0;
        part_quarantine::steady_time begins_at;
        bool survived = false;
    };
    struct server_state {
        std::vector<running_request> running;
        part_quarantine::steady_time back_at{};
        int starts = 0;
    };

    bool is_deadly(const std::vector<std::string>& parts) const { return parts.back() == "deadly"; }

    void send_request() {
        const bool deadly = double(random_() % 10000) < deadly_share_ * 10000;
        const std::vector<std::string> parts{"first", deadly ? "deadly"
                                                             : "session-" + std::to_string(random_() % 200)};
        const std::size_t router = random_() % router_count;
        const bool rejected = routers_[router].rejects(parts, now_);
        if (!deadly) {
            ++sound_sent;
            sound_rejected += rejected ? 1 : 0;
        }
        server_state& server = servers_[random_() % server_count];
        if (rejected || server.back_at > now_.steady) {
            return;
        }
        const bool past_bound = fifth_crash_at_ && now_.steady - *fifth_crash_at_ > contact_time;
        deadly_after_bound += deadly && past_bound ? 1 : 0;
        server.running.push_back({parts, router, now_.steady + milliseconds(50 + random_() % 300)});
    }

    void run_server(server_state& server) {
        constexpr milliseconds time_to_crash{50};
        constexpr milliseconds answer_time{1500};
        bool crashed = false;
        for (running_request& each : server.running) {
            const auto age = now_.steady - each.begins_at;
            crashed = crashed || (is_deadly(each.parts) && age >= time_to_crash);
            if (!each.survived && age >= part_quarantine::survival_time) {
                each.survived = true;
                routers_[each.router].quarantine.note_survival(each.parts, each.begins_at, now_);
            }
        }
        if (crashed) {
            crash(server);
        }
        std::erase_if(server.running,
                      [&](const auto& each) { return now_.steady - each.begins_at >= answer_time; });
    }

    void crash(server_state& server) {
        constexpr std::chrono::seconds restart_time{3};
        const std::string incarnation =
            std::to_string(&server - servers_.data()) + "@" + std::to_string(server.starts++);
        std::vector<std::vector<interrupted_request>> interrupted(routers_.size());
        for (const running_request& each : server.running) {
            if (!each.survived) {
                interrupted[each.router].push_back({each.parts, each.begins_at <= now_.steady});
            }
        }
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (!interrupted[i].empty()) {
                routers_[i].quarantine.note_crash(incarnation, interrupted[i], now_);
            }
        }
        server.running.clear();
        server.back_at = now_.steady + restart_time;
        if (++crashes == 5) {
            fifth_crash_at_ = now_.steady;
        }
    }

    void share() {
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            const evidence_by_part notices = routers_[i].quarantine.take_notices(now_);
            for (std::size_t j = 0; j < routers_.size() && how_ != sharing::store_only; ++j) {
                if (i != j) {
                    routers_[j].quarantine.merge(notices, now_);
                }
            }
            const auto update = routers_[i].quarantine.plan_store_update(stored_, now_);
            if (update && how_ != sharing::notices_only) {
                stored_ = *update;
            }
        }
        for (router_view& each : routers_) {
            each.quarantine.merge(stored_, now_);
        }
    }

    sharing how_;
    std::mt19937 random_;
    double deadly_share_;
    clock_reading now_ = clock_reading::now();
    std::vector<router_view> routers_;
    std::vector<server_state> servers_;
    evidence_by_part stored_;
    std::optional<part_quarantine::steady_time> fifth_crash_at_;
};

class crash_load_test : public ::testing::TestWithParam<sharing> {};

TEST_P(crash_load_test, deadly_requests_are_kept_from_servers_and_sound_ones_are_not) {
    constexpr int max_deadly_requests = 3;
    for (const double deadly_share : {0.002, 0.02, 0.1, 0.3, 0.6}) {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            crash_load load(GetParam(), seed, deadly_share);
            load.play(std::chrono::seconds(60));
            EXPECT_LE(load.deadly_after_bound, max_deadly_requests)
                << "seed " << seed << ", share " << deadly_share << ", crashes " << load.crashes;
            EXPECT_LE(load.sound_rejected, load.sound_sent / 100)
                << "seed " << seed << ", share " << deadly_share << ", sent " << load.sound_sent;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(ways, crash_load_test,
                         ::testing::Values(sharing::notices_and_store, sharing::notices_only,
                                           sharing::store_only));

} // namespace
} // namespace eelgrassgw

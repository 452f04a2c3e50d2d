/// Plays fleets of routers that send to one cold server, and checks that no second gets more requests than
/// the limit, whatever the routers know of each other.

#include "budgets/fleet_membership.h"
#include "eelgrassgw/base/hash.h"
#include "most_in_a_second.h"
#include "places/cold_shares.h"

#include <gtest/gtest.h>

#include <memory>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

constexpr double rate = 16;
constexpr std::size_t limit = 16 * 1.5 + 5;
constexpr auto step = 50ms;

/// What happens to the routers of a fleet.
struct fleet_faults {
    std::uint64_t cut_per_mille = 0; ///< Chance in each step that a router loses the ledger for up to 20 s.
    std::uint64_t restart_per_mille = 0; ///< Chance in each step that a router is killed and starts anew.
    std::uint64_t lost_percent = 0;      ///< Part of the calls to the ledger without an answer.
    bool keeps_addresses = true; ///< Whether a router that starts anew has the address of the old one.
};

/// Routers that share the ledger and no messages.
class fleet {
public:
    fleet(std::size_t n, const fleet_faults& faults) : faults_(faults), routers_(n) {
        for (auto& each : routers_) {
            start(each);
        }
    }

    /// Runs the fleet for `duration` under as many requests as it takes. Returns the times of the sends.
    std::vector<clock::time_point> run(std::chrono::seconds duration) {
        std::vector<clock::time_point> sends;
        for (const auto end = now_ + duration; now_ < end; now_ += step) {
            for (auto& each : routers_) {
                advance(each);
                send(each, sends);
            }
        }
        return sends;
    }

private:
    struct router {
        std::unique_ptr<cold_shares> shares;
        fleet_membership known;
        std::string address;
        std::uint64_t sequence = 0;
        clock::time_point cut_until{};
        clock::time_point next_call_at{};
        std::vector<cold_permit> permits; ///< Requests that wait for a connection.
    };

    bool happens(std::uint64_t chance, std::uint64_t of) const { return random_below(of) < chance; }

    /// Starts an incarnation, which knows no other router.
    void start(router& each) {
        const std::string name = "router-" + std::to_string(++incarnations_);
        each.permits.clear();
        each.shares = std::make_unique<cold_shares>();
        each.known = {};
        each.known.own = name;
        if (each.address.empty() || !faults_.keeps_addresses) {
            each.address = "address of " + name;
        }
        each.next_call_at = now_ + std::chrono::milliseconds(random_below(1000));
        each.cut_until = {};
    }

    void advance(router& each) {
        if (happens(faults_.restart_per_mille, 1000)) {
            start(each);
        }
        if (now_ >= each.cut_until && happens(faults_.cut_per_mille, 1000)) {
            each.cut_until = now_ + std::chrono::milliseconds(random_below(20000));
        }
        if (now_ >= each.next_call_at) {
            call_ledger(each);
            each.next_call_at = now_ + 1s;
        }
    }

    /// Writes to the ledger, and reads it if the answer is not lost. A call takes no time, so that a router
    /// uses its shares for as long as it may after the last answer.
    void call_ledger(router& each) {
        if (now_ < each.cut_until) {
            return;
        }
        const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
        // The processes that write to the ledger have clocks that differ.
        const std::int64_t skew = std::int64_t(random_below(1000));
        ledger_.change(each.known.own, {++each.sequence, wall.count() + skew, each.address, {}, false}, {});
        if (happens(faults_.lost_percent, 100)) {
            return;
        }
        each.known.routers = routers_that_may_run(ledger_);
        each.known.era = 1;
        each.known.read_at = now_;
        each.known.own_write_at = now_;
        each.known.is_complete = true;
        each.shares->set_membership(each.known, now_);
    }

    /// Sends as much as the router may, after up to 300 ms in which a connection is opened.
    void send(router& each, std::vector<clock::time_point>& sends) {
        while (cold_permit permit = each.shares->take("server", rate, now_)) {
            each.permits.push_back(std::move(permit));
        }
        while (!each.permits.empty() && happens(1, 3)) {
            if (each.shares->use(each.permits.back(), rate, now_)) {
                sends.push_back(now_);
            }
            each.permits.pop_back();
        }
    }

    fleet_faults faults_;
    std::vector<router> routers_;
    budget_ledger ledger_;
    std::uint64_t incarnations_ = 0;
    clock::time_point now_ = clock::time_point(1h);
};

class cold_shares_test : public ::testing::TestWithParam<std::size_t> {
protected:
    std::vector<clock::time_point> play(const fleet_faults& faults) {
        seed_random_numbers(7);
        return fleet(GetParam(), faults).run(60s);
    }
};

INSTANTIATE_TEST_SUITE_P(fleets, cold_shares_test, ::testing::Values(1, 9, 300));

// A rule that keeps the bound by sending nothing would be useless.
TEST_P(cold_shares_test, undisturbed_fleet_uses_most_of_the_rate) {
    const auto sends = play({});
    EXPECT_LE(most_in_a_second(sends), limit);
    EXPECT_GT(sends.size(), 60 * rate / 2);
}

TEST_P(cold_shares_test, bound_holds_while_calls_are_lost_and_routers_are_cut_off) {
    const auto sends = play({10, 0, 20, true});
    EXPECT_LE(most_in_a_second(sends), limit);
    EXPECT_FALSE(sends.empty());
}

TEST_P(cold_shares_test, bound_holds_while_routers_restart) {
    EXPECT_LE(most_in_a_second(play({0, 5, 0, true})), limit);
}

TEST_P(cold_shares_test, bound_holds_while_routers_are_replaced_cut_off_and_lose_calls) {
    EXPECT_LE(most_in_a_second(play({10, 2, 20, false})), limit);
}

fleet_membership make_membership(clock::time_point now, std::vector<std::string> routers) {
    return {"a", std::move(routers), 1, now, now, true};
}

// All routers of a fleet that just started are in this state at once.
TEST(cold_shares_of_one_router_test, router_that_knows_no_list_of_routers_sends_nothing) {
    cold_shares shares;
    const auto now = clock::time_point(1h);
    EXPECT_FALSE(shares.take("server", rate, now));
    EXPECT_EQ(std::nullopt, shares.time_until_room("server", rate, now));
    shares.set_membership(make_membership(now, {"b"}), now); // It is not in the list itself.
    EXPECT_FALSE(shares.take("server", rate, now + cold_shares::rest_time));
}

TEST(cold_shares_of_one_router_test, requests_before_the_cold_state_was_known_count) {
    cold_shares shares;
    auto now = clock::time_point(1h);
    shares.set_membership(make_membership(now, {"a"}), now);
    now += cold_shares::rest_time;
    shares.set_membership(make_membership(now, {"a"}), now);
    now += 1s + cold_shares::window + cold_shares::margin;
    shares.set_membership(make_membership(now, {"a"}), now);
    shares.note_unlimited_send("server", now);
    EXPECT_FALSE(shares.take("server", rate, now));
    EXPECT_EQ(1001ms, shares.time_until_room("server", rate, now));
    EXPECT_TRUE(shares.take("server", rate, now + cold_shares::window));
}

// A copy of the ledger may lack routers that run, whose shares others would take.
TEST(cold_shares_of_one_router_test, shares_rest_after_the_store_was_restored) {
    cold_shares shares;
    auto now = clock::time_point(1h);
    fleet_membership known = make_membership(now, {"a"});
    const auto advance = [&](clock::duration time) {
        for (const auto end = now + time; now < end;) {
            now += 500ms;
            known.read_at = known.own_write_at = now;
            shares.set_membership(known, now);
        }
    };
    advance(5s);
    EXPECT_TRUE(shares.take("server", rate, now));
    known.era = 2;
    advance(cold_shares::restored_rest_time - 500ms);
    EXPECT_FALSE(shares.take("server", rate, now));
    advance(2s);
    EXPECT_TRUE(shares.take("server", rate, now));
}

} // namespace
} // namespace eelgrassgw

/// Tests the limit of a server under the load of a simulated fleet of routers, without a network.

#include "limits/reach_estimate.h"
#include "limits/request_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// The routers of a simulated fleet and their load.
struct fleet_shape {
    std::size_t routers = 4;
    double rate = 2.8;               ///< Requests per second that the server names as its limit.
    double requests_per_s = 100;     ///< Requests that all routers would send to the server without a limit.
    bool is_uneven = false;          ///< Whether a few routers get most of the requests.
    int max_delay_ms = 4;            ///< Largest time that a notice takes.
    double loss = 0;                 ///< Share of the notices that are lost.
    std::size_t late_routers = 0;    ///< Routers that start in the middle and know nothing.
    std::size_t dead_routers = 0;    ///< Routers that end in the middle.
    std::size_t cut_off_routers = 0; ///< Routers that exchange no notices with the others from the middle on.
};

/// Plays requests of routers to a server that names a limit, and ends it at last. All routers tell one
/// another what they send, and ask some others every half second.
class limit_load {
public:
    using time_point = request_limit::time_point;

    static constexpr milliseconds step{1};
    static constexpr milliseconds answer_time{20};
    static constexpr milliseconds question_interval{500};
    static constexpr milliseconds contact_time{3000};
    static constexpr milliseconds window{4000};
    static constexpr std::size_t max_questions = 8;

    limit_load(const fleet_shape& shape, unsigned seed)
        : shape_(shape), random_(seed), routers_(shape.routers) {}

    /// Plays on for `time`. Routers start, end and are cut off in the middle of it.
    void play(milliseconds time) {
        middle_ = played_ + time / 2;
        for (const milliseconds end = played_ + time; played_ < end; played_ += step) {
            now_ += step;
            deliver();
            offer_requests();
            if (played_ % question_interval == 0ms) {
                ask();
            }
        }
    }

    /// Makes the server name no limit from now on.
    void end_limit() { is_limited_ = false; }

    /// Returns the largest number of requests within a window, once the routers have had time to learn.
    std::size_t max_arrivals() const {
        std::size_t most = 0;
        for (auto it = first_counted(); it != arrivals_.end(); ++it) {
            most = std::max(most, std::size_t(std::lower_bound(it, arrivals_.end(), *it + window) - it));
        }
        return most;
    }

    /// Returns the number of requests since the routers have had time to learn.
    std::size_t counted_arrivals() const { return std::size_t(arrivals_.end() - first_counted()); }

    /// Returns the number of routers that keep to a limit.
    std::size_t limited_router_count() const {
        return std::size_t(std::count_if(routers_.begin(), routers_.end(),
                                         [](const auto& each) { return each.is_in_force(); }));
    }

private:
    struct notice {
        std::size_t from = 0;
        std::size_t to = 0;
        request_limit_view view;
        int taken = 0;
        bool asks = false;
        std::optional<std::size_t> answered_router; ///< Set for an answer of the server.
        std::optional<double> rate;
    };

    std::vector<milliseconds>::const_iterator first_counted() const {
        return std::lower_bound(arrivals_.begin(), arrivals_.end(), contact_time);
    }
    /// Returns whether the others count the router as one of the fleet.
    bool is_listed(std::size_t router) const { return played_ >= middle_ || router >= shape_.late_routers; }
    bool is_up(std::size_t router) const {
        const bool dies = router >= routers_.size() - shape_.dead_routers;
        return is_listed(router) && (played_ < middle_ || !dies);
    }
    bool is_cut(std::size_t a, std::size_t b) const {
        const auto is_apart = [&](std::size_t router) {
            return router < shape_.cut_off_routers;
        };
        return played_ >= middle_ && is_apart(a) != is_apart(b);
    }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    std::size_t draw_router() {
        const bool is_busy_one = shape_.is_uneven && draw() < 0.8;
        const std::size_t busy_routers = std::max<std::size_t>(1, routers_.size() / 10);
        return random_() % (is_busy_one ? busy_routers : routers_.size());
    }

    void offer_requests() {
        std::poisson_distribution<int> count(shape_.requests_per_s *
                                             std::chrono::duration<double>(step).count());
        for (int n = count(random_); n > 0; --n) {
            const std::size_t router = draw_router();
            if (is_up(router) && routers_[router].has_room(now_)) {
                send_request(router);
            }
        }
    }

    void send_request(std::size_t router) {
        arrivals_.push_back(played_);
        if (routers_[router].is_in_force()) {
            routers_[router].take(now_);
            tell_all(router, 1);
        }
        notice answer;
        answer.answered_router = router;
        answer.rate = is_limited_ ? std::optional(shape_.rate) : std::nullopt;
        in_flight_.emplace(played_ + answer_time, answer);
    }

    void tell_all(std::size_t from, int taken) {
        for (std::size_t to = 0; to < routers_.size(); ++to) {
            if (to != from) {
                tell({from, to, routers_[from].view(now_), taken, false, {}, {}});
            }
        }
    }

    void tell(const notice& sent) {
        if (draw() >= shape_.loss && !is_cut(sent.from, sent.to)) {
            in_flight_.emplace(played_ + milliseconds(1 + int(random_() % unsigned(shape_.max_delay_ms))),
                               sent);
        }
    }

    void ask() {
        for (std::size_t from = 0; from < routers_.size(); ++from) {
            if (!is_up(from) || !routers_[from].age(now_)) {
                continue;
            }
            std::vector<std::size_t> others = listed_others(from);
            std::shuffle(others.begin(), others.end(), random_);
            const double fleet_size = 1 + double(others.size());
            others.resize(std::min(max_questions, others.size()));
            double reached = 0;
            for (const std::size_t to : others) {
                reached += is_up(to) && !is_cut(from, to) ? 1 : 0;
                tell({from, to, routers_[from].view(now_), 0, true, {}, {}});
            }
            const double reached_share = others.empty() ? 1 : reached / double(others.size());
            routers_[from].set_share(share_of_limit(reached_share, fleet_size), now_);
        }
    }

    std::vector<std::size_t> listed_others(std::size_t router) const {
        std::vector<std::size_t> others;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (i != router && is_listed(i)) {
                others.push_back(i);
            }
        }
        return others;
    }

    void deliver() {
        while (!in_flight_.empty() && in_flight_.begin()->first <= played_) {
            const notice received = in_flight_.begin()->second;
            in_flight_.erase(in_flight_.begin());
            if (received.answered_router) {
                note_answer(*received.answered_router, received.rate);
            } else if (is_up(received.to)) {
                accept(received);
            }
        }
    }

    void note_answer(std::size_t router, std::optional<double> rate) {
        if (is_up(router) && routers_[router].note_answer(rate, now_)) {
            tell_all(router, 0);
        }
    }

    void accept(const notice& received) {
        const bool is_behind = routers_[received.to].note_view(received.view, received.taken, now_);
        if ((received.asks && routers_[received.to].age(now_)) || is_behind) {
            tell({received.to, received.from, routers_[received.to].view(now_), 0, false, {}, {}});
        }
    }

    fleet_shape shape_;
    std::mt19937 random_;
    std::vector<request_limit> routers_;
    std::multimap<milliseconds, notice> in_flight_;
    std::vector<milliseconds> arrivals_;
    time_point now_ = time_point{} + 1h;
    milliseconds played_{0};
    milliseconds middle_{0};
    bool is_limited_ = true;
};

class request_limit_load_test : public ::testing::Test {
protected:
    static constexpr milliseconds play_time{20000};

    /// Plays the load and checks that the server gets no more than its limit allows, and hardly less than its
    /// limit although more was offered.
    static void check(const fleet_shape& shape, const std::string& what, double min_use = 0.8) {
        constexpr double tolerance = 1.5;
        constexpr double extra_requests = 5;
        const std::chrono::duration<double> window = limit_load::window;
        const std::chrono::duration<double> counted = play_time - limit_load::contact_time;
        for (unsigned seed = 1; seed <= 3; ++seed) {
            limit_load load(shape, seed);
            load.play(play_time);
            EXPECT_LE(double(load.max_arrivals()), tolerance * shape.rate * window.count() + extra_requests)
                << what << ", seed " << seed;
            EXPECT_GE(double(load.counted_arrivals()), min_use * shape.rate * counted.count() - 1)
                << what << ", seed " << seed;
        }
    }
};

TEST_F(request_limit_load_test, sum_of_all_routers_keeps_to_the_limit_and_uses_it) {
    for (const std::size_t routers : {1U, 2U, 4U, 27U, 350U}) {
        for (const double rate : {0.3, 1.0, 2.8, 20.0}) {
            for (const bool is_uneven : {false, true}) {
                fleet_shape shape;
                shape.routers = routers;
                shape.rate = rate;
                shape.is_uneven = is_uneven;
                check(shape, std::to_string(routers) + " routers, rate " + std::to_string(rate) +
                                 (is_uneven ? ", uneven" : ""));
            }
        }
    }
}

TEST_F(request_limit_load_test, requests_at_many_routers_at_the_same_moment_do_not_add_up) {
    for (const double rate : {0.3, 1.0, 2.8, 20.0}) {
        for (const double requests_per_s : {1000.0, 3000.0}) {
            fleet_shape shape;
            shape.routers = 350;
            shape.rate = rate;
            shape.requests_per_s = requests_per_s;
            check(shape, std::to_string(requests_per_s) + " a second, rate " + std::to_string(rate));
        }
    }
}

TEST_F(request_limit_load_test, lost_and_late_notices_change_little) {
    for (const std::size_t routers : {2U, 4U, 27U, 350U}) {
        for (const double loss : {0.03, 0.3}) {
            fleet_shape shape;
            shape.routers = routers;
            shape.loss = loss;
            shape.max_delay_ms = 40;
            check(shape, std::to_string(routers) + " routers, loss " + std::to_string(loss));
        }
    }
}

TEST_F(request_limit_load_test, routers_that_cannot_reach_the_others_keep_to_the_limit_with_them) {
    for (const std::size_t routers : {2U, 4U, 27U}) {
        for (const std::size_t cut_off : {std::size_t(1), routers / 2}) {
            for (const double rate : {0.3, 2.8, 10.0}) {
                fleet_shape shape;
                shape.routers = routers;
                shape.rate = rate;
                shape.cut_off_routers = cut_off;
                check(shape, std::to_string(cut_off) + " of " + std::to_string(routers) +
                                 " routers cut off, rate " + std::to_string(rate));
            }
        }
    }
}

TEST_F(request_limit_load_test, routers_that_start_or_end_change_nothing) {
    for (const std::size_t routers : {4U, 27U}) {
        fleet_shape shape;
        shape.routers = routers;
        shape.dead_routers = routers / 4;
        check(shape, std::to_string(shape.dead_routers) + " of " + std::to_string(routers) + " routers dead");
        shape.dead_routers = 0;
        shape.late_routers = routers / 2;
        check(shape, std::to_string(shape.late_routers) + " of " + std::to_string(routers) + " routers late");
    }
}

// The last other router that is down is half of the fleet, so a router cannot tell whether it is cut off.
TEST_F(request_limit_load_test, router_that_is_left_alone_uses_most_of_the_limit) {
    fleet_shape shape;
    shape.routers = 2;
    shape.dead_routers = 1;
    check(shape, "one of two routers dead", 0.7);
}

TEST_F(request_limit_load_test, all_routers_learn_that_the_limit_has_ended) {
    for (const double loss : {0.0, 0.3}) {
        fleet_shape shape;
        shape.routers = 27;
        shape.loss = loss;
        shape.is_uneven = true;
        limit_load load(shape, 1);
        load.play(10s);
        EXPECT_EQ(shape.routers, load.limited_router_count());
        load.end_limit();
        load.play(3s);
        EXPECT_EQ(0U, load.limited_router_count()) << "loss " << loss;
    }
}

} // namespace
} // namespace eelgrassgw

/// Tests the placement under load on servers of uneven speed, against the placement by counts that it
/// replaces, which sends too much to slow servers.

#include "eelgrassgw/base/hash.h"
#include "placing/placement.h"
#include "placing/prompt_notices.h"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <set>

namespace eelgrassgw {
namespace {

using namespace std::chrono_literals;
using time_point = tracked_backend::clock::time_point;
using server_list = std::vector<std::shared_ptr<tracked_backend>>;

/// The placement before measured speeds: the first server in rendezvous order within fixed bounds.
std::shared_ptr<tracked_backend> place_by_counts(const server_list& all, const placement_request& request,
                                                 time_point now) {
    double running = 0;
    for (const auto& each : all) {
        running += each->running_requests;
    }
    const double max_running = std::max(8.0, 1.5 * running / double(all.size()));
    std::shared_ptr<tracked_backend> best;
    std::shared_ptr<tracked_backend> least;
    std::uint64_t best_rank = 0;
    for (const auto& each : all) {
        const auto unread = each->known_unread_tokens(now);
        const auto rank = stable_hash(request.shared_prompt_part + "\n" + each->server.id);
        least = least == nullptr || unread < least->known_unread_tokens(now) ? each : least;
        if (each->running_requests <= max_running && unread <= 6000 + 4 * request.shared_tokens &&
            (best == nullptr || rank > best_rank)) {
            best = each;
            best_rank = rank;
        }
    }
    return best == nullptr ? least : best;
}

/// The load of one run, and how long the servers' pauses may be.
struct load {
    int routers = 5;
    std::vector<double> speeds;   ///< Of each server, in proportion to the usual speed.
    bool has_slow_moments = true; ///< Whether slow servers are 2.5 times slower still for moments.
    double requests_per_s = 150;
    double long_share = 0.05; ///< Part of the requests that has a long prompt.
    std::int64_t long_tokens = 6000;
    std::int64_t shared_tokens = 2000;
    double tokens_per_ms = 100;                 ///< Usual reading speed.
    double chunk_tokens = 2048;                 ///< Tokens that a server reads in one step.
    std::chrono::milliseconds max_event_gap{0}; ///< Bound that the placement knows of.
    bool by_counts = false;
};

/// What callers got.
struct outcome {
    double late_first_events = 0; ///< Part of the short requests whose first event took over 250 ms.
    double late_streams = 0;      ///< Part of the streams with a pause of over 300 ms.
    double read_tokens = 0;       ///< Prompt tokens that the servers read for a request.
};

/// Plays routers that know their own requests and the notices, and servers that read prompts in chunks
/// between steps, each of which makes a token for each stream.
class placement_load {
public:
    explicit placement_load(load played)
        : load_(std::move(played)), random_(7), servers_(load_.speeds.size()) {
        for (int i = 0; i < load_.routers; ++i) {
            views_.emplace_back();
            for (std::size_t j = 0; j < load_.speeds.size(); ++j) {
                const std::string id = "s" + std::to_string(j);
                views_.back().put({{id, "models", "10.0.0.1:80", "dc", "v1", 64, false, 0}, 1});
            }
        }
    }

    outcome run() {
        constexpr double end_ms = 20000;
        std::exponential_distribution<double> pause(load_.requests_per_s / 1000);
        for (double at = 0; at < end_ms; at += pause(random_)) {
            for (std::size_t i = 0; i < servers_.size(); ++i) {
                advance(i, at);
            }
            send(at);
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            advance(i, end_ms + 20000);
        }
        result_.late_first_events /= std::max(1, short_requests_);
        result_.late_streams /= std::max(1, requests_);
        result_.read_tokens /= std::max(1, requests_);
        return result_;
    }

private:
    static constexpr int tokens_per_event = 6;

    struct stream {
        std::shared_ptr<tracked_backend> server;
        std::unique_ptr<unread_prompt> prompt;
        std::size_t router = 0;
        int number = 0;
        double sent_at = 0;
        double unread = 0;
        bool is_long = false;
        double last_event_at = -1;
        bool is_late = false;
        int made = 0;
        int length = 0;
    };

    struct server {
        double clock = 0;
        std::deque<std::unique_ptr<stream>> waiting;
        std::vector<std::unique_ptr<stream>> running;
        std::set<std::string> parts;
    };

    static time_point time_of(double ms) {
        return time_point(1h) + std::chrono::microseconds(std::int64_t(ms * 1000));
    }

    double speed(std::size_t i, double at) const {
        const bool is_slow_now =
            load_.has_slow_moments && load_.speeds[i] < 1 && std::fmod(at + 700 * double(i), 3000) < 600;
        return load_.speeds[i] / (is_slow_now ? 2.5 : 1);
    }

    void send(double at) {
        // Routers get uneven shares of the load.
        const std::size_t router = std::min(random_() % load_.routers, random_() % load_.routers);
        const bool is_long = double(random_() % 1000) < load_.long_share * 1000;
        std::exponential_distribution<double> length(1.0 / 700);
        placement_request request;
        request.carries_prompt = true;
        request.random = random_();
        request.shared_prompt_part = is_long ? "" : "part-" + std::to_string(random_() % 60);
        request.shared_tokens = is_long ? 0 : load_.shared_tokens;
        request.unshared_tokens = is_long ? load_.long_tokens : 50 + std::int64_t(length(random_));
        request.bound = {load_.max_event_gap, tokens_per_event, 600000};
        request.held_tokens = request.unshared_tokens + request.shared_tokens + 240;
        const auto now = time_of(at);
        const auto candidates = views_[router].ready_servers("models");
        placement_outcome placed;
        if (load_.by_counts) {
            placed.server = place_by_counts(candidates, request, now);
            placed.tokens_to_read = request.unshared_tokens;
        } else {
            placed = choose_backend_server(candidates, request, now);
            if (placed.no_room) {
                request.bound = {};
                placed = choose_backend_server(candidates, request, now);
            }
        }
        start(std::size_t(std::stoi(placed.server->server.id.substr(1))), router, placed, request, at);
    }

    void start(std::size_t i, std::size_t router, const placement_outcome& placed,
               const placement_request& request, double at) {
        server& to = servers_[i];
        auto sent = std::make_unique<stream>();
        const bool is_long = request.shared_tokens == 0;
        const bool is_read = is_long || to.parts.contains(request.shared_prompt_part);
        to.parts.insert(request.shared_prompt_part);
        sent->server = placed.server;
        sent->server->begin_request(time_of(at));
        sent->router = router;
        sent->number = ++requests_;
        sent->sent_at = at;
        sent->unread = double(request.unshared_tokens + (is_read ? 0 : request.shared_tokens));
        sent->is_long = is_long;
        sent->length = 60 + int(random_() % 360);
        sent->prompt =
            std::make_unique<unread_prompt>(notices_, placed.server, placed.tokens_to_read,
                                            request.shared_prompt_part, request.held_tokens, time_of(at));
        if (placed.tokens_to_read >= prompt_notices::min_announced_tokens) {
            for_others(*sent, [&](tracked_backend& other) {
                other.announced_prompts[std::to_string(sent->number)] = {placed.tokens_to_read,
                                                                         time_of(at + 2500)};
            });
        }
        result_.read_tokens += sent->unread;
        short_requests_ += is_long ? 0 : 1;
        to.clock = to.running.empty() && to.waiting.empty() ? at : to.clock;
        to.waiting.push_back(std::move(sent));
    }

    template <class Change>
    void for_others(const stream& of, Change change) {
        for (std::size_t i = 0; i < views_.size(); ++i) {
            if (i != of.router) {
                change(*views_[i].find(of.server->server.id));
            }
        }
    }

    /// Runs the server's steps until `end`.
    void advance(std::size_t i, double end) {
        server& each = servers_[i];
        while (each.clock < end && (!each.running.empty() || !each.waiting.empty())) {
            double step = 3.5 + 0.05 * double(each.running.size());
            if (!each.waiting.empty() && each.running.size() < 64) {
                stream& first = *each.waiting.front();
                const double chunk = std::min(load_.chunk_tokens, first.unread);
                first.unread -= chunk;
                step += chunk / load_.tokens_per_ms;
            }
            each.clock += step / speed(i, each.clock);
            if (!each.waiting.empty() && each.waiting.front()->unread <= 0) {
                each.running.push_back(std::move(each.waiting.front()));
                each.waiting.pop_front();
            }
            for (const auto& stream : each.running) {
                make_token(*stream, each.clock);
            }
            std::erase_if(each.running, [](const auto& stream) { return stream->made >= stream->length; });
        }
    }

    void make_token(stream& of, double at) {
        if (++of.made % tokens_per_event != 0 && of.made < of.length) {
            return;
        }
        if (of.last_event_at < 0) {
            result_.late_first_events += !of.is_long && at - of.sent_at > 250 ? 1 : 0;
            for_others(of, [&](tracked_backend& other) {
                other.announced_prompts.erase(std::to_string(of.number));
            });
        }
        of.is_late = of.is_late || (of.last_event_at >= 0 && at - of.last_event_at > 300);
        of.last_event_at = at;
        of.prompt->note_event(time_of(at));
        of.server->last_heard_at = time_of(at);
        if (of.made >= of.length) {
            result_.late_streams += of.is_late ? 1 : 0;
            --of.server->running_requests;
        }
    }

    load load_;
    std::mt19937 random_;
    asio::io_context context_;
    notice_channel channel_{context_};
    backend_directory unused_;
    prompt_notices notices_{channel_, unused_, "self"};
    std::vector<backend_directory> views_;
    std::vector<server> servers_;
    outcome result_;
    int requests_ = 0;
    int short_requests_ = 0;
};

outcome play(load played, bool by_counts) {
    played.by_counts = by_counts;
    return placement_load(played).run();
}

class placement_load_test : public ::testing::TestWithParam<int> {
protected:
    void report(const char* name, const outcome& result) {
        std::cout << GetParam() << " routers, " << name << ": late first events " << result.late_first_events
                  << ", late streams " << result.late_streams << ", tokens read " << result.read_tokens
                  << "\n";
    }
};

/// Guards against slow servers getting as much as fast ones.
TEST_P(placement_load_test, fewer_answers_are_late_on_uneven_servers_than_by_counts) {
    load played;
    played.routers = GetParam();
    played.speeds = {0.7, 1, 1.7, 1, 0.7, 1, 1.7, 1, 1};
    played.requests_per_s = 200;
    const outcome before = play(played, true);
    const outcome after = play(played, false);
    report("uneven, by counts", before);
    report("uneven, by wait", after);
    EXPECT_GT(before.late_first_events, 0.02) << "too few answers are late for a comparison";
    EXPECT_LT(after.late_first_events, before.late_first_events / 2);
    EXPECT_LE(after.late_streams, before.late_streams);
}

/// Guards against shared parts being read again where nothing is gained by it.
TEST_P(placement_load_test, even_servers_read_no_more_and_are_not_later_than_by_counts) {
    load played;
    played.routers = GetParam();
    played.speeds.assign(9, 1);
    played.requests_per_s = 150;
    const outcome before = play(played, true);
    const outcome after = play(played, false);
    report("even, by counts", before);
    report("even, by wait", after);
    EXPECT_LE(after.read_tokens, before.read_tokens * 1.02);
    EXPECT_LE(after.late_first_events, before.late_first_events + 0.001);
    EXPECT_LE(after.late_streams, before.late_streams + 0.001);
}

/// Guards against long prompts in a row that make each stream of a server late.
TEST_P(placement_load_test, bound_keeps_a_burst_of_long_prompts_from_delaying_streams) {
    load played;
    played.routers = GetParam();
    played.speeds = {0.7, 1, 1.7, 1, 0.7, 1, 1.7, 1, 1};
    played.has_slow_moments = false;
    played.requests_per_s = 100;
    played.long_share = 0.15;
    played.long_tokens = 12000;
    played.tokens_per_ms = 62;
    played.chunk_tokens = 4096;
    const outcome before = play(played, true);
    played.max_event_gap = 300ms;
    const outcome after = play(played, false);
    report("burst, by counts", before);
    report("burst, bound", after);
    EXPECT_GT(before.late_streams, 0.02) << "too few streams are late for a comparison";
    EXPECT_LT(after.late_streams, before.late_streams / 2);
}

INSTANTIATE_TEST_SUITE_P(routers, placement_load_test, ::testing::Values(5, 22));

} // namespace
} // namespace eelgrassgw

#pragma once

/// A simulated fleet whose servers crash under some of their requests, for tests of the quarantine under
/// load.

#include "quarantine/request_fingerprint.h"
#include "router_view.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassgw {

/// How the routers of a simulated fleet reach one another.
enum class sharing { notices_and_store, notices_only, store_only };

/// The requests that a simulated fleet gets, and how its servers crash.
struct load_shape {
    using milliseconds = std::chrono::milliseconds;

    double deadly_share = 0; ///< Share of the requests that have the deadly part.
    int deadly_at_once = 0;  ///< Requests with the deadly part that come together, after each gap.
    milliseconds deadly_gap{5000};
    milliseconds time_to_crash{50};    ///< Time from the begin of a deadly answer to the crash.
    bool crashes_before_begin = false; ///< Whether routers see nothing of a deadly answer before the crash.
    bool is_retried = false;           ///< Whether a router sends an interrupted request once more, at once.
    std::vector<milliseconds> outages; ///< Times at which servers lose power together.
    double outage_share = 1;           ///< Share of the servers that do so.
    std::size_t outage_slices = 1;     ///< Number of groups of them that do so in turn, one at each outage.
    bool is_request = false; ///< Whether one request that comes again is deadly, rather than a prompt part.
    milliseconds start{0};   ///< Time of the day at which the load starts; it decides who probes when.
    milliseconds restart_gap{0}; ///< Time between restarts of routers, one after the other; 0 for none.
};

/// Plays requests of several routers to servers that crash under one prompt part, without a network. A
/// request takes its turn on a server after a random time, and its answer takes longer than the crash that
/// the deadly part causes. A server is back after some seconds.
class crash_load {
public:
    using milliseconds = std::chrono::milliseconds;

    static constexpr int router_count = 5;
    static constexpr int server_count = 12;
    static constexpr milliseconds step{5};
    static constexpr milliseconds contact_time{3000};
    /// Time between two rounds in which routers share what they know.
    static constexpr milliseconds share_interval{250};

    crash_load(sharing how, unsigned seed, load_shape shape)
        : how_(how), random_(seed), shape_(std::move(shape)), routers_(router_count), servers_(server_count) {
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            std::vector<std::string> others;
            for (std::size_t j = 0; j < routers_.size(); ++j) {
                if (i != j) {
                    others.push_back(std::to_string(j));
                }
            }
            routers_[i].quarantine.set_routers(std::to_string(i), others);
        }
    }

    void play(std::chrono::seconds time) {
        for (milliseconds played{0}; played < time; played += step) {
            now_.steady += step;
            now_.wall += step;
            if (random_() % 1000 < 600) {
                const bool deadly = double(random_() % 10000) < shape_.deadly_share * 10000;
                send_new_request(deadly, random_() % router_count);
            }
            if (played % shape_.deadly_gap == milliseconds(0)) {
                send_deadly_requests();
            }
            if (shape_.restart_gap > milliseconds(0) && played % shape_.restart_gap == milliseconds(0)) {
                restart_router(next_restarted_router_++ % router_count);
            }
            for (std::size_t i = 0; i < shape_.outages.size(); ++i) {
                if (shape_.outages[i] == played) {
                    crash_slice(i % shape_.outage_slices);
                }
            }
            for (server_state& each : servers_) {
                run_server(each);
            }
            if (played % share_interval == milliseconds(0)) {
                share();
            }
        }
    }

    int deadly_after_bound = 0; ///< Deadly requests that reached servers after the bound.
    int sound_rejected = 0;     ///< Sound requests that were kept from a server that was up.
    int sound_sent = 0;
    int crashes = 0;

private:
    struct running_request {
        std::vector<std::string> parts;
        std::size_t router = 0;
        part_quarantine::steady_time begins_at;
        int attempts = 0;
        bool is_probe = false;
    };
    struct server_state {
        std::vector<running_request> running;
        part_quarantine::steady_time back_at{};
        int starts = 0;
    };

    static clock_reading start_at(milliseconds time) {
        constexpr std::chrono::hours first_day{480'000};
        return {std::chrono::steady_clock::time_point(std::chrono::hours(1)),
                std::chrono::system_clock::time_point(first_day) + time};
    }

    /// A router forgets what it knew. It asks another one what is in quarantine, if notices arrive.
    void restart_router(std::size_t router) {
        routers_[router].quarantine.clear();
        started_at_[router] = now_.steady;
        if (how_ != sharing::store_only) {
            const router_view& other = routers_[(router + 1) % router_count];
            routers_[router].quarantine.merge(other.quarantine.evidence_for_new_router(), now_);
        }
    }

    /// Returns whether a router has run for so long that it must know what the others know.
    bool is_in_touch(std::size_t router) const { return now_.steady - started_at_[router] > contact_time; }

    bool is_deadly(const std::vector<std::string>& parts) const { return parts.back() == deadly_part_; }

    static std::vector<std::string> make_request(const std::string& path) {
        return fingerprints_of({"GET", "a.example", path, "acme", "", ""});
    }

    /// Returns the parts of a new request. Sound requests come again, too: some of them often, most never.
    std::vector<std::string> draw_parts(bool deadly) {
        const unsigned session = unsigned(random_() % 200);
        if (!shape_.is_request) {
            return {"first", deadly ? "deadly" : "session-" + std::to_string(session)};
        }
        const bool is_frequent = session < 40;
        return make_request(deadly        ? deadly_path
                            : is_frequent ? "frequent/" + std::to_string(session)
                                          : "rare/" + std::to_string(++rare_requests_));
    }

    void send_deadly_requests() {
        for (int i = 0; i < shape_.deadly_at_once; ++i) {
            send_new_request(true, next_deadly_router_++ % router_count);
        }
    }

    void send_new_request(bool deadly, std::size_t router) {
        running_request request;
        request.parts = draw_parts(deadly);
        request.router = router;
        server_state& server = servers_[random_() % server_count];
        const bool rejected = routers_[router].rejects(request.parts, now_);
        request.is_probe = rejected && routers_[router].quarantine.take_probe(request.parts, now_);
        if (!deadly) {
            ++sound_sent;
            const bool is_up = server.back_at <= now_.steady;
            sound_rejected += rejected && !request.is_probe && is_up ? 1 : 0;
        }
        if (!rejected || request.is_probe) {
            send_to(server, request);
        }
    }

    void send_to(server_state& server, running_request request) {
        if (server.back_at > now_.steady) {
            if (request.is_probe) {
                routers_[request.router].quarantine.return_probe(request.parts);
            }
            return;
        }
        const bool past_bound = bound_crash_at_ && now_.steady - *bound_crash_at_ > contact_time;
        deadly_after_bound += is_deadly(request.parts) && past_bound && is_in_touch(request.router) ? 1 : 0;
        request.begins_at = now_.steady + milliseconds(50 + random_() % 300);
        ++request.attempts;
        server.running.push_back(std::move(request));
    }

    void run_server(server_state& server) {
        constexpr milliseconds answer_time{1500};
        bool crashed = false;
        for (running_request& each : server.running) {
            const auto age = now_.steady - each.begins_at;
            const bool deadly = is_deadly(each.parts);
            crashed = crashed || (deadly && age >= shape_.time_to_crash);
            if (age >= answer_time && !deadly) {
                routers_[each.router].quarantine.note_answer(each.parts, each.begins_at, now_);
            } else if (has_begun(each)) {
                routers_[each.router].quarantine.note_progress(each.parts, each.begins_at, now_);
            }
        }
        if (crashed) {
            crash(server);
        }
        std::erase_if(server.running, [&](const auto& each) {
            return now_.steady - each.begins_at >= answer_time && !is_deadly(each.parts);
        });
    }

    bool has_begun(const running_request& request) const {
        const bool is_silent = shape_.crashes_before_begin && is_deadly(request.parts);
        return request.begins_at <= now_.steady && !is_silent;
    }

    void crash_slice(std::size_t slice) {
        for (std::size_t i = 0; i < std::size_t(shape_.outage_share * server_count); ++i) {
            if (i % shape_.outage_slices == slice && servers_[i].back_at <= now_.steady) {
                crash(servers_[i]);
            }
        }
    }

    void crash(server_state& server) {
        constexpr std::chrono::seconds restart_time{3};
        const std::string incarnation =
            std::to_string(&server - servers_.data()) + "@" + std::to_string(server.starts++);
        std::vector<std::vector<interrupted_request>> interrupted(routers_.size());
        for (const running_request& each : server.running) {
            const bool begun = has_begun(each);
            const auto written_for = begun ? now_.steady - each.begins_at : milliseconds(0);
            interrupted[each.router].push_back(
                {each.parts, begun, std::chrono::floor<milliseconds>(written_for)});
        }
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (!interrupted[i].empty()) {
                routers_[i].quarantine.note_crash(incarnation, interrupted[i], now_);
            }
        }
        deadly_crashes_ += std::any_of(server.running.begin(), server.running.end(),
                                       [&](const auto& each) { return is_deadly(each.parts); })
                               ? 1
                               : 0;
        ++crashes;
        if (!bound_crash_at_ && (shape_.is_request ? deadly_crashes_ == 3 : crashes == 5)) {
            bound_crash_at_ = now_.steady;
        }
        server.back_at = now_.steady + restart_time;
        retry(std::exchange(server.running, {}));
    }

    /// Sends interrupted requests to other servers, unless they have been sent twice or are probes.
    void retry(std::vector<running_request> interrupted) {
        for (running_request& each : interrupted) {
            const bool may_retry = shape_.is_retried && each.attempts < 2 && !each.is_probe;
            if (may_retry && !routers_[each.router].rejects(each.parts, now_)) {
                send_to(servers_[random_() % server_count], each);
            }
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
    load_shape shape_;
    clock_reading now_ = start_at(shape_.start);
    std::vector<router_view> routers_;
    std::vector<part_quarantine::steady_time> started_at_ =
        std::vector<part_quarantine::steady_time>(router_count);
    std::vector<server_state> servers_;
    std::size_t next_deadly_router_ = 0;
    evidence_by_part stored_;
    static constexpr const char* deadly_path = "deadly";

    const std::string deadly_part_ = shape_.is_request ? make_request(deadly_path).back() : "deadly";
    std::size_t next_restarted_router_ = 0;
    int rare_requests_ = 0;
    int deadly_crashes_ = 0; ///< Crashes of servers that ran a deadly request.
    std::optional<part_quarantine::steady_time> bound_crash_at_; ///< The crash that the bound counts from.
};

} // namespace eelgrassgw

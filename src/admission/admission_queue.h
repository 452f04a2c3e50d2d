#pragma once

/// Orders the requests that wait for room at the backend servers.

#include "admission/admission_request.h"
#include "admission/service_shares.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassgw {

/// Result of an attempt to place a waiting request at a server.
enum class place_attempt {
    placed,      ///< A server has room, which is now taken.
    no_room,     ///< Servers could run the request, but none has room.
    unavailable, ///< No server can run the request, or it need not wait any more.
};

/// Decides which waiting request is served when room appears, and which is refused because it cannot be
/// served while its answer is of use. The order is by what callers lose:
///
/// 1. short requests of priority 0;
/// 2. requests of a group that is served too rarely (`service_shares`);
/// 3. priority;
/// 4. requests that can still be on time before those that are late;
/// 5. less work before more, in powers of two;
/// 6. the time at which the answer is due.
///
/// A request whose size finds no room lets smaller ones behind it go first, but not any longer once it has
/// waited for a quarter of its objective: then the room is kept for it against all that are behind it in the
/// order. Needs no network. Not thread-safe.
class admission_queue {
public:
    using clock = admission_request::clock;
    using milliseconds = std::chrono::milliseconds;
    using ticket = std::uint64_t;

    /// Largest number of waiting requests and of the bytes that they hold. At the rate of one server, 256
    /// prompts of 500 tokens are read in 2 s; the bytes are a fifteenth of the smallest VM's memory.
    static constexpr std::size_t max_requests = 256;
    static constexpr std::size_t max_bytes = 8U << 20U;

    /// Part of the objective after which room is kept for a request: 1 / 4.
    static constexpr int keep_room_divisor = 4;

    /// Time with waiting requests over which the rate is measured, and the weight in it of the expected rate.
    /// A server that is slow for a moment, which lasts up to 0.6 s, must not have all others refused.
    static constexpr milliseconds measured_time{2000};
    static constexpr milliseconds expected_rate_weight{300};

    /// Time for which the judgement is kept whether a waiting request's groups are served too rarely.
    static constexpr milliseconds judgement_lifetime{100};

    /// A request that left the queue because it was placed or need not wait.
    struct served_entry {
        ticket number = 0;
        place_attempt result = place_attempt::placed;
    };

    /// A request that is refused.
    struct refused_entry {
        ticket number = 0;
        milliseconds retry_after{0}; ///< Time until there will be room for a request like it.
    };

    /// Adds a request. The caller must call `next` and `expire` afterwards, which serve or refuse it at once
    /// if that can be decided.
    ticket offer(admission_request request, clock::time_point now);

    /// Offers the room that has appeared to the waiting requests, in order. `try_place` must not change the
    /// queue. Returns the requests that left it.
    std::vector<served_entry> next(const std::function<place_attempt(ticket)>& try_place,
                                   clock::time_point now);

    /// Removes and returns the requests that cannot be sent while that is worthwhile, if the work before them
    /// is done at the rate at which room appeared lately, and those beyond the queue's bounds, last in order.
    std::vector<refused_entry> expire(clock::time_point now);

    /// Removes a request whose caller has left. Does nothing if it is not in the queue.
    void leave(ticket number, clock::time_point now);

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

    /// Returns the number of waiting requests by priority.
    std::map<int, int> count_by_priority() const;

private:
    /// Room that a service's servers gave to waiting requests.
    struct measured_rate {
        double tokens = 0;
        double busy_ms = 0; ///< Time during which requests waited.
        clock::time_point updated{};
        int waiting = 0;
    };

    struct waiting_request {
        admission_request request;
        bool is_behind = false; ///< Whether one of its groups is served too rarely.
        clock::time_point judged_at{};
    };

    /// Place of a request in the order; compared member by member.
    struct rank {
        int group = 0;
        int priority = 0;
        int late = 0;
        int work = 0;
        clock::time_point due{};
        ticket number = 0;
        auto operator<=>(const rank&) const = default;
    };

    rank rank_of(ticket number, waiting_request& waiting, clock::time_point now) const;
    std::vector<ticket> in_order(clock::time_point now);
    void update_rate(measured_rate& rate, clock::time_point now);
    double tokens_per_ms(const admission_request& request) const;
    void remove(ticket number, clock::time_point now);

    std::map<ticket, waiting_request> entries_;
    std::map<std::string, measured_rate> rates_; ///< By service.
    service_shares shares_;
    ticket last_number_ = 0;
};

} // namespace eelgrassgw

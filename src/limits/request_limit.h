#pragma once

/// Decides how many requests the routers send to a backend server that has named a limit.

#include <chrono>
#include <optional>

namespace eelgrassgw {

/// What a router knows of the limit of one server, as it tells the other routers.
struct request_limit_view {
    /// Requests per second that the server takes from all routers together; nothing if it names no limit.
    std::optional<double> rate;
    std::chrono::milliseconds age{0}; ///< Time since an answer of the server said so.
    double available = 0;             ///< Number of requests that may be sent now; negative after too many.
};

/// The limit of one run of a backend server on the requests of all routers together.
///
/// All routers draw on one allowance, which grows at the server's rate: each keeps its own copy, takes its
/// requests out of it, and tells the others, which take them out of theirs. So the rate holds whatever the
/// number of routers and however uneven their traffic is, and a router without traffic leaves its part to the
/// others. Requests that several routers send at the same moment make the allowance negative, and the
/// next ones wait for longer. A router that missed a notice adopts the lower allowance of the next one.
///
/// Among statements about the server, the one from its latest answer holds, whichever router received that.
/// So a limit ends for all routers with the first answer that names none. All operations take constant time.
/// Not thread-safe.
class request_limit {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    /// Smallest rate that is applied, in requests per second. Only an answer shows that a limit has ended, so
    /// even a server that takes no requests gets one now and then.
    static constexpr double min_rate = 0.05;
    /// Largest rate that a server can name, in requests per second.
    static constexpr double max_rate = 1e6;
    /// The allowance does not grow beyond what the server takes in this time, or beyond one request.
    static constexpr milliseconds burst_time{1000};
    /// The allowance is not reduced below what the server takes in this time and `max_extra_debt` requests.
    static constexpr milliseconds max_debt_time{4000};
    static constexpr double max_extra_debt = 5;
    /// Difference between the allowances of two routers that their clocks and the notices on the way explain:
    /// part of a request, and what the server takes in this time.
    static constexpr double usual_difference = 0.5;
    static constexpr milliseconds usual_difference_time{100};

    /// Returns whether the server names a limit.
    bool is_in_force() const { return rate_.has_value(); }

    /// Returns the requests per second that the server takes from all routers; nothing if it names no limit.
    std::optional<double> rate() const { return rate_; }

    /// Returns whether a request may be sent.
    bool has_room(time_point now) const { return !is_in_force() || available(now) >= 1; }

    /// Returns the time until a request may be sent.
    milliseconds time_until_room(time_point now) const;

    /// Counts a request of this router. Does nothing if no limit is in force.
    void take(time_point now) { add(-1, now); }

    /// Takes back a request that was counted and not sent.
    void give_back(time_point now) { add(1, now); }

    /// Notes what an answer that has just arrived says: the server's rate, or nothing if it names none.
    /// Returns whether that differs from what was known. Precondition: the rate is not negative.
    bool note_answer(std::optional<double> rate, time_point now);

    /// Notes what another router knows. `taken` is the number of requests that it has just sent. Returns
    /// whether the other router lacks a later statement of the server.
    bool note_view(const request_limit_view& other, int taken, time_point now);

    /// Returns what this router knows.
    request_limit_view view(time_point now) const;

    /// Returns the time since the last statement about a limit; nothing if there never was one.
    std::optional<milliseconds> age(time_point now) const;

    /// Sets the part of the rate that this router counts on; 1 if it reaches all other routers.
    /// Precondition: 0 < `share` <= 1.
    void set_share(double share, time_point now);

private:
    double available(time_point now) const;
    double applied_rate() const;
    double max_available() const;
    void add(double requests, time_point now);
    void set_available(double requests, time_point now);
    void adopt(std::optional<double> rate, time_point stated_at, time_point now);

    std::optional<double> rate_;
    time_point
        stated_at_{}; ///< Arrival of the answer that `rate_` is from; unset if none ever named a limit.
    double share_ = 1;
    double available_ = 0; ///< Number of requests that could be sent at `available_at_`.
    time_point available_at_{};
};

} // namespace eelgrassgw

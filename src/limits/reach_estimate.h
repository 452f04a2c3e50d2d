#pragma once

/// Estimates which part of the other routers this router exchanges notices with.

#include <chrono>
#include <deque>
#include <string>

namespace eelgrassgw {

/// Counts how many of the routers that were asked lately have answered. Not thread-safe.
class reach_estimate {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    /// Time within which a router answers if it can be reached.
    static constexpr milliseconds answer_time{400};
    /// Questions that are older count no more.
    static constexpr milliseconds window{3000};

    /// Notes that the router at `address` was asked.
    void note_asked(const std::string& address, time_point now);

    /// Notes that the router at `address` answered its last question.
    void note_answered(const std::string& address);

    /// Returns the share of the asked routers that answered; 1 if none has had time to answer.
    double share(time_point now);

private:
    struct question {
        std::string address;
        time_point asked_at;
        bool is_answered = false;
    };

    std::deque<question> questions_; ///< In the order of their times.
};

/// Returns the part of a server's rate that a router counts on, if it reaches this share of the others in a
/// fleet of `fleet_size` routers. Routers that cannot reach each other then exceed the rate by half at most.
/// A router that reaches two thirds of the fleet counts on the whole rate, so a few that are down change
/// nothing.
double share_of_limit(double reached_share, double fleet_size);

} // namespace eelgrassgw

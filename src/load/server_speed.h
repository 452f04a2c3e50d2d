#pragma once

/// Measures the speed of a backend server from the answers that this process receives.

#include "load/decaying_mean.h"

#include <chrono>
#include <cstdint>

namespace eelgrassgw {

/// The mean speed of the servers of a service, which stands in for what is not measured at one of them.
struct service_speed {
    double ms_per_token = 0.01; ///< Time to read a prompt token; the default is 100 tokens a millisecond.
    double event_gap_ms = 30;   ///< Time between two events of a stream.
    double answer_ms = 20;      ///< Time to a whole answer of a service without streams.
};

class service_speed_sums;

/// Measures one server. Each figure is smoothed over time and falls back to the mean of the service while
/// there are few samples. Times are arguments. Not thread-safe.
class server_speed {
public:
    using time_point = decaying_mean::time_point;
    using duration = std::chrono::duration<double, std::milli>;

    /// Fewest tokens of a sample of the reading speed. With fewer, the time to the first event depends on the
    /// network and on the steps of the batch.
    static constexpr std::int64_t min_measured_tokens = 200;

    /// Bounds of the time to read a token. Servers read 62 to 125 tokens a millisecond, at 0.28 to 1.7 of
    /// that when they are uneven; the slow end leaves room for requests that this process does not know of.
    static constexpr double min_ms_per_token = 0.0025;
    static constexpr double max_ms_per_token = 0.08;

    /// Bound of the factor by which a server can be slower than usual.
    static constexpr double max_slowdown = 3;

    /// Notes that the first event came `waited` after the send, when `tokens` had to be read for it.
    void note_first_event(std::int64_t tokens, duration waited, time_point now);

    /// Notes the time between two events of one stream.
    void note_event_gap(duration gap, time_point now);

    /// Notes the time to a whole answer of a service without streams.
    void note_answer(duration took, time_point now);

    /// Returns the time in milliseconds that the server now needs for a prompt token, including a slowdown
    /// that the pauses between its events show.
    double ms_per_token(const service_speed& service, time_point now) const;

    /// Returns the time in milliseconds by which first events came later than what was known to wait at the
    /// server explains: it has too few slots free, or reads prompts of which this process does not know.
    double hidden_wait_ms(time_point now) const;

    /// Returns the present time between two events in milliseconds, which a first event takes as well.
    double recent_gap_ms(const service_speed& service, time_point now) const;

    /// Returns the usual time between two events in milliseconds.
    double event_gap_ms(const service_speed& service, time_point now) const;

    /// Returns the time to a whole answer in milliseconds.
    double answer_ms(const service_speed& service, time_point now) const;

    /// Adds the measurements to sums from which the means of a service are computed.
    void add_to(service_speed_sums& sums, time_point now) const;

private:
    double slowdown(time_point now) const;

    decaying_mean reading_{std::chrono::seconds(3)};           ///< Milliseconds by prompt token.
    decaying_mean usual_gap_{std::chrono::seconds(5)};         ///< Milliseconds between events.
    decaying_mean recent_gap_{std::chrono::milliseconds(250)}; ///< The same over a short time.
    decaying_mean hidden_wait_{std::chrono::seconds(1)};       ///< Milliseconds that no known work explains.
    decaying_mean answers_{std::chrono::seconds(3)};           ///< Milliseconds to a whole answer.
};

/// Sums the measurements of a service's servers.
class service_speed_sums {
public:
    /// Returns the means; the defaults where nothing is measured.
    service_speed means() const;

    weighted_sum reading;
    weighted_sum event_gap;
    weighted_sum answers;
};

} // namespace eelgrassgw

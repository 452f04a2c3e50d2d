#include "load/server_speed.h"

#include <algorithm>

namespace eelgrassgw {

namespace {

// Weights of the service's mean beside a server's own samples, in tokens, events and answers.
constexpr double prior_tokens = 3000;
constexpr double prior_events = 5;
constexpr double prior_answers = 4;
// Weight of the default in the service's mean time to an answer. With more, a server that is not measured yet
// would count as slower than the others and get hardly any request.
constexpr double default_answers = 0.01;
constexpr double prior_waits = 0.5; // A server gets few requests of one router in a second.

// Bound of a pause between events while the usual one is not known.
constexpr double max_first_gap_ms = 300;

// Weight of the usual gap beside recent ones, so that one late event is not taken for a slow server.
constexpr double prior_recent_events = 4;

} // namespace

void server_speed::note_first_event(std::int64_t tokens, duration waited, time_point now) {
    if (tokens < min_measured_tokens) {
        return;
    }
    // The first event also takes the steps that make its tokens, which is the usual time between events.
    const weighted_sum gap = usual_gap_.at(now);
    const double steps_ms = gap.weight > 0 ? gap.mean(0, 0) : service_speed{}.event_gap_ms;
    const double n = double(tokens);
    const double wait_ms = waited.count() - std::min(steps_ms, waited.count() / 2);
    const double usual_ms = reading_.at(now).mean(service_speed{}.ms_per_token, prior_tokens);
    const double max_ms = std::min(max_ms_per_token, max_slowdown * usual_ms);
    const double read_ms = std::clamp(wait_ms, n * min_ms_per_token, n * max_ms);
    reading_.add(read_ms, n, now);
    hidden_wait_.add(std::max(0.0, wait_ms - read_ms), 1, now);
}

void server_speed::note_event_gap(duration gap, time_point now) {
    // A caller that reads slowly holds up the events too, so one pause counts only up to a bound.
    const weighted_sum usual = usual_gap_.at(now);
    const double max_gap = usual.weight >= prior_events ? max_slowdown * usual.mean(0, 0) : max_first_gap_ms;
    const double counted = std::min(gap.count(), max_gap);
    usual_gap_.add(counted, 1, now);
    recent_gap_.add(counted, 1, now);
}

void server_speed::note_answer(duration took, time_point now) {
    answers_.add(took.count(), 1, now);
}

double server_speed::slowdown(time_point now) const {
    const weighted_sum usual = usual_gap_.at(now);
    if (usual.weight <= 0 || usual.total <= 0) {
        return 1;
    }
    const double usual_gap = usual.mean(0, 0);
    const double recent = recent_gap_.at(now).mean(usual_gap, prior_recent_events);
    return std::clamp(recent / usual_gap, 1.0, max_slowdown);
}

double server_speed::ms_per_token(const service_speed& service, time_point now) const {
    return reading_.at(now).mean(service.ms_per_token, prior_tokens) * slowdown(now);
}

double server_speed::hidden_wait_ms(time_point now) const {
    return hidden_wait_.at(now).mean(0, prior_waits);
}

double server_speed::recent_gap_ms(const service_speed& service, time_point now) const {
    return recent_gap_.at(now).mean(event_gap_ms(service, now), prior_recent_events);
}

double server_speed::event_gap_ms(const service_speed& service, time_point now) const {
    return usual_gap_.at(now).mean(service.event_gap_ms, prior_events);
}

double server_speed::answer_ms(const service_speed& service, time_point now) const {
    return answers_.at(now).mean(service.answer_ms, prior_answers);
}

void server_speed::add_to(service_speed_sums& sums, time_point now) const {
    const auto add = [&](weighted_sum& to, const decaying_mean& measured) {
        const weighted_sum each = measured.at(now);
        to.total += each.total;
        to.weight += each.weight;
    };
    add(sums.reading, reading_);
    add(sums.event_gap, usual_gap_);
    add(sums.answers, answers_);
}

service_speed service_speed_sums::means() const {
    const service_speed defaults;
    return {reading.mean(defaults.ms_per_token, prior_tokens),
            event_gap.mean(defaults.event_gap_ms, prior_events),
            answers.mean(defaults.answer_ms, default_answers)};
}

} // namespace eelgrassgw

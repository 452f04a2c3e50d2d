#include "admission/admission_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;

// Smallest rate that is assumed, in tokens per millisecond.
constexpr double min_rate = 1;

double in_ms(admission_queue::clock::duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

admission_queue::ticket admission_queue::offer(admission_request request, clock::time_point now) {
    const ticket number = ++last_number_;
    measured_rate& rate = rates_[request.service];
    update_rate(rate, now);
    ++rate.waiting;
    shares_.note_size(request);
    entries_[number].request = std::move(request);
    return number;
}

admission_queue::rank admission_queue::rank_of(ticket number, waiting_request& waiting,
                                               clock::time_point now) const {
    const admission_request& request = waiting.request;
    if (now - waiting.judged_at >= judgement_lifetime) {
        waiting.is_behind = shares_.is_behind(request, now);
        waiting.judged_at = now;
    }
    rank place;
    const bool is_urgent_short = request.priority <= 0 && request.is_short();
    place.group = is_urgent_short ? 0 : waiting.is_behind ? 1 : 2;
    // Among the urgent short ones, too, a group that is behind goes first.
    place.priority = is_urgent_short && waiting.is_behind ? -1 : request.priority;
    place.late = now > request.latest_timely_start() ? 1 : 0;
    place.work = static_cast<int>(std::bit_width(static_cast<std::uint64_t>(request.work())));
    place.due = request.started + request.objective;
    place.number = number;
    return place;
}

std::vector<admission_queue::ticket> admission_queue::in_order(clock::time_point now) {
    std::vector<rank> ranks;
    ranks.reserve(entries_.size());
    for (auto& [number, waiting] : entries_) {
        ranks.push_back(rank_of(number, waiting, now));
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<ticket> ordered;
    ordered.reserve(ranks.size());
    for (const rank& each : ranks) {
        ordered.push_back(each.number);
    }
    return ordered;
}

/// Adds the time since the last update, and lets older measurements fade.
void admission_queue::update_rate(measured_rate& rate, clock::time_point now) {
    if (rate.waiting > 0 && now > rate.updated) {
        rate.busy_ms += in_ms(now - rate.updated);
    }
    if (rate.busy_ms > double(measured_time.count())) {
        const double factor = double(measured_time.count()) / rate.busy_ms;
        rate.busy_ms *= factor;
        rate.tokens *= factor;
    }
    rate.updated = now;
}

double admission_queue::tokens_per_ms(const admission_request& request) const {
    const auto it = rates_.find(request.service);
    const measured_rate measured = it == rates_.end() ? measured_rate{} : it->second;
    const double weight_ms(expected_rate_weight.count());
    const double tokens = measured.tokens + request.expected_rate * weight_ms;
    return std::max(min_rate, tokens / (measured.busy_ms + weight_ms));
}

void admission_queue::remove(ticket number, clock::time_point now) {
    const auto it = entries_.find(number);
    if (it == entries_.end()) {
        return;
    }
    measured_rate& rate = rates_[it->second.request.service];
    update_rate(rate, now);
    --rate.waiting;
    entries_.erase(it);
}

std::vector<admission_queue::served_entry>
admission_queue::next(const std::function<place_attempt(ticket)>& try_place, clock::time_point now) {
    // Sizes that found no room, by service and bound. Larger ones find none either.
    std::map<std::pair<std::string, std::int64_t>, std::int64_t> too_large;
    std::map<std::string, bool> kept_for_first; ///< Services whose room is kept for an earlier request.
    std::vector<served_entry> served;
    for (const ticket number : in_order(now)) {
        const admission_request& request = entries_.at(number).request;
        if (kept_for_first[request.service]) {
            continue;
        }
        const std::pair<std::string, std::int64_t> bound(request.service, request.max_unread_tokens);
        const auto known = too_large.find(bound);
        const bool is_too_large = known != too_large.end() && request.unread_tokens >= known->second;
        const place_attempt result = is_too_large ? place_attempt::no_room : try_place(number);
        if (result != place_attempt::no_room) {
            served.push_back({number, result});
            continue;
        }
        if (request.is_first_send && !is_too_large) {
            too_large[bound] = request.unread_tokens;
        }
        kept_for_first[request.service] =
            request.is_first_send && now - request.started > request.objective / keep_room_divisor;
    }
    for (const served_entry& each : served) {
        const admission_request request = entries_.at(each.number).request;
        const bool placed = each.result == place_attempt::placed;
        remove(each.number, now);
        if (placed) {
            rates_[request.service].tokens += double(std::max<std::int64_t>(1, request.unread_tokens));
            shares_.note_decision(request, true, now);
        }
    }
    return served;
}

std::vector<admission_queue::refused_entry> admission_queue::expire(clock::time_point now) {
    std::vector<refused_entry> refused;
    std::map<std::string, double> tokens_before; ///< Work of the requests before, by service.
    std::size_t kept_requests = 0;
    std::size_t kept_bytes = 0;
    for (const ticket number : in_order(now)) {
        const admission_request request = entries_.at(number).request;
        double& before = tokens_before[request.service];
        const double rate = tokens_per_ms(request);
        const milliseconds wait(static_cast<std::int64_t>(before / rate));
        const bool fits = kept_requests < max_requests && kept_bytes + request.bytes <= max_bytes;
        if (fits && now + wait <= request.latest_start()) {
            before += double(std::max<std::int64_t>(1, request.unread_tokens));
            ++kept_requests;
            kept_bytes += request.bytes;
            continue;
        }
        const auto own_time = static_cast<std::int64_t>(double(request.unread_tokens) / rate);
        refused.push_back({number, std::max(wait, milliseconds(own_time))});
        remove(number, now);
        shares_.note_decision(request, false, now);
    }
    return refused;
}

void admission_queue::leave(ticket number, clock::time_point now) {
    remove(number, now);
}

std::map<int, int> admission_queue::count_by_priority() const {
    std::map<int, int> counts;
    for (const auto& [number, waiting] : entries_) {
        ++counts[waiting.request.priority];
    }
    return counts;
}

} // namespace eelgrassgw

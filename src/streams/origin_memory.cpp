#include "streams/origin_memory.h"

namespace eelgrassgw {

void origin_memory::put(const std::string& stream, const stream_origin& origin, clock::time_point now) {
    known_origin& known = known_.try_emplace(stream, known_origin{origin, now, 0}).first->second;
    known.told_at = now;
    known.number = ++next_number_;
    in_order_.push_back({stream, now, known.number});
    forget_old(now);
}

std::optional<origin_record> origin_memory::find(const std::string& stream, clock::time_point now) const {
    const auto it = known_.find(stream);
    if (it == known_.end() || now - it->second.told_at > retention) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - it->second.told_at);
    return origin_record{stream, it->second.origin, age};
}

void origin_memory::forget_old(clock::time_point now) {
    while (!in_order_.empty() &&
           (now - in_order_.front().told_at > retention || in_order_.size() > max_streams)) {
        const auto it = known_.find(in_order_.front().stream);
        if (it != known_.end() && it->second.number == in_order_.front().number) {
            known_.erase(it);
        }
        in_order_.pop_front();
    }
}

} // namespace eelgrassgw

#include "gateway/sent_requests.h"

#include "eelgrassgw/base/hash.h"

namespace eelgrassgw {

bool sent_requests::insert(const std::string& id, clock::time_point now) {
    remove_old(now);
    const std::uint64_t id_hash = stable_hash(id);
    if (!sent_at_.emplace(id_hash, now).second) {
        return false;
    }
    by_age_.push_back({id_hash, now});
    return true;
}

void sent_requests::erase(const std::string& id) {
    sent_at_.erase(stable_hash(id));
}

bool sent_requests::contains(const std::string& id) const {
    return sent_at_.contains(stable_hash(id));
}

void sent_requests::remove_old(clock::time_point now) {
    while (!by_age_.empty() &&
           (by_age_.front().sent_at + retention <= now || by_age_.size() >= max_requests)) {
        remove_oldest();
    }
}

void sent_requests::remove_oldest() {
    const auto it = sent_at_.find(by_age_.front().id_hash);
    // The request may have been erased and sent again since.
    if (it != sent_at_.end() && it->second == by_age_.front().sent_at) {
        sent_at_.erase(it);
    }
    by_age_.pop_front();
}

} // namespace eelgrassgw

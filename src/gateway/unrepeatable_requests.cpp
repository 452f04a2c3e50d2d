#include "gateway/unrepeatable_requests.h"

#include "eelgrassgw/base/hash.h"

namespace eelgrassgw {

bool unrepeatable_requests::insert(const std::string& id, clock::time_point now) {
    remove_old(now);
    const std::uint64_t id_hash = stable_hash(id);
    if (!accepted_at_.emplace(id_hash, now).second) {
        return false;
    }
    by_age_.push_back({id_hash, now});
    return true;
}

void unrepeatable_requests::erase(const std::string& id) {
    accepted_at_.erase(stable_hash(id));
}

bool unrepeatable_requests::contains(const std::string& id) const {
    return accepted_at_.contains(stable_hash(id));
}

void unrepeatable_requests::remove_old(clock::time_point now) {
    while (!by_age_.empty() &&
           (by_age_.front().accepted_at + retention <= now || by_age_.size() >= max_requests)) {
        remove_oldest();
    }
}

void unrepeatable_requests::remove_oldest() {
    const auto it = accepted_at_.find(by_age_.front().id_hash);
    // The request may have been erased and accepted again since.
    if (it != accepted_at_.end() && it->second == by_age_.front().accepted_at) {
        accepted_at_.erase(it);
    }
    by_age_.pop_front();
}

} // namespace eelgrassgw

#include "streams/stream_origins.h"

#include "eelgrassgw/base/hash.h"

#include <algorithm>
#include <utility>

namespace eelgrassgw {

namespace {

/// Mixes two hashes so that each bit of the result depends on all of them.
std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    std::uint64_t mixed = a ^ (b * 0x9e3779b97f4a7c15U);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace

stream_origins::stream_origins(asio::io_context& context, notice_channel& channel, std::string own_address)
    : context_(context), channel_(channel), own_address_(std::move(own_address)) {
    channel_.set_handler(origin_answer_kind,
                         [this](const Json::Value& notice) { return handle_answer(notice); });
}

void stream_origins::set_relays(const std::vector<std::string>& staying,
                                const std::vector<std::string>& leaving) {
    std::map<std::string, bool> wanted;
    for (const std::string& each : leaving) {
        wanted[each] = true;
    }
    for (const std::string& each : staying) {
        wanted[each] = false; // Another server on the same VM may stay.
    }
    const bool unchanged =
        wanted.size() == relays_.size() && std::all_of(relays_.begin(), relays_.end(), [&](const auto& each) {
            const auto it = wanted.find(each.address);
            return it != wanted.end() && it->second == each.leaving;
        });
    if (unchanged) {
        return;
    }
    relays_.clear();
    for (const auto& [address, leaves] : wanted) {
        relays_.push_back({address, stable_hash(address), leaves});
    }
    tell_changed_relays();
}

void stream_origins::note_event(const std::string& stream, const stream_origin& origin) {
    const auto now = clock::now();
    memory_.put(stream, origin, now);
    if (now - purged_at_ > broken_stream_time) {
        forget_broken_streams(now);
    }
    told_stream& told = streams_[stream];
    told = {now, {}};
    tell(stream, told, origin);
}

void stream_origins::note_whole(const std::string& stream) {
    streams_.erase(stream);
    memory_.erase(stream);
}

/// Returns the first `n` relays in the rendezvous order of the stream.
std::vector<std::string> stream_origins::rank(const std::string& stream, std::size_t n,
                                              bool prefer_staying) const {
    const std::uint64_t stream_hash = stable_hash(stream);
    std::vector<std::pair<std::uint64_t, const ranked_relay*>> order;
    for (const ranked_relay& each : relays_) {
        constexpr std::uint64_t rank_bits = ~std::uint64_t(0) >> 1U;
        const std::uint64_t preference = prefer_staying && !each.leaving ? ~rank_bits : 0;
        order.emplace_back(preference | (mix(stream_hash, each.hash) & rank_bits), &each);
    }
    n = std::min(n, order.size());
    std::partial_sort(order.begin(), order.begin() + std::ptrdiff_t(n), order.end(), std::greater<>());
    std::vector<std::string> first;
    for (std::size_t i = 0; i < n; ++i) {
        first.push_back(order[i].second->address);
    }
    return first;
}

/// Tells the relays that have not been told of the stream yet.
void stream_origins::tell(const std::string& stream, told_stream& told, const stream_origin& origin) {
    const Json::Value notice = to_json(origin_record{stream, origin, milliseconds(0)});
    std::vector<std::string> relays = rank(stream, max_told_relays, true);
    for (const std::string& relay : relays) {
        if (std::find(told.told_relays.begin(), told.told_relays.end(), relay) == told.told_relays.end()) {
            channel_.send_to(relay, notice);
        }
    }
    told.told_relays = std::move(relays);
}

/// Forgets the streams that were broken off long ago.
void stream_origins::forget_broken_streams(clock::time_point now) {
    std::erase_if(streams_,
                  [&](const auto& each) { return now - each.second.noted_at > broken_stream_time; });
    purged_at_ = now;
}

void stream_origins::tell_changed_relays() {
    const auto now = clock::now();
    forget_broken_streams(now);
    for (auto& [stream, told] : streams_) {
        if (const auto known = memory_.find(stream, now)) {
            tell(stream, told, known->origin);
        }
    }
}

task<origin_lookup> stream_origins::find(std::string stream) {
    const auto begun_at = clock::now();
    origin_lookup found;
    found.record = memory_.find(stream, begun_at);
    if (found.record) {
        found.source = "this router";
        co_return found;
    }
    const bool is_odd = stream.empty() || stream.size() > max_stream_id_bytes;
    if (is_odd || own_address_.empty() || relays_.empty()) {
        co_return found;
    }
    const std::vector<std::string> relays = rank(stream, max_asked_relays, false);
    const origin_question question{++next_question_, own_address_, stream};
    const auto open = std::make_shared<open_question>(context_.get_executor());
    open->silent_relays.insert(relays.begin(), relays.end());
    questions_[question.number] = open;
    for (const auto deadline : {begun_at + repeat_time, begun_at + answer_timeout}) {
        if (!open->record && !open->silent_relays.empty()) {
            ask(question, open->silent_relays);
            (void)co_await open->answered.wait_until(deadline);
        }
    }
    questions_.erase(question.number);
    found.record = open->record;
    found.source = open->source;
    found.asked = relays.size();
    found.silent = open->silent_relays.size();
    co_return found;
}

void stream_origins::ask(const origin_question& question, const std::set<std::string>& relays) {
    const Json::Value notice = to_json(question);
    for (const std::string& relay : relays) {
        channel_.send_to(relay, notice);
    }
}

result<done> stream_origins::handle_answer(const Json::Value& notice) {
    result<origin_answer> answer = parse_origin_answer(notice);
    if (!answer) {
        return answer.error();
    }
    const auto it = questions_.find(answer.value().number);
    if (it == questions_.end()) {
        return done{};
    }
    open_question& open = *it->second;
    open.silent_relays.erase(answer.value().from);
    if (answer.value().record && !open.record) {
        open.record = std::move(answer.value().record);
        open.source = answer.value().from;
    }
    if (open.record || open.silent_relays.empty()) {
        open.answered.notify();
    }
    return done{};
}

} // namespace eelgrassgw

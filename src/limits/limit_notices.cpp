#include "limits/limit_notices.h"

#include "base/random_choice.h"
#include "eelgrassgw/base/json.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassgw {

namespace {

using std::chrono::milliseconds;

constexpr const char* notice_kind = "server_limits";

/// Returns the finite number `name` of `object`; nothing if there is none.
std::optional<double> number_member(const Json::Value& object, const char* name) {
    const Json::Value& value = member(object, name);
    if (!value.isNumeric() || !std::isfinite(value.asDouble())) {
        return std::nullopt;
    }
    return value.asDouble();
}

Json::Value to_json(const tracked_backend& server, limit_notices::clock::time_point now) {
    const request_limit_view view = server.limit.view(now);
    Json::Value limit;
    limit["server"] = server.server.id;
    limit["started_ms"] = Json::Int64(server.server.started_ms);
    limit["age_ms"] = Json::Int64(view.age.count());
    if (view.rate) {
        limit["rate"] = *view.rate;
        limit["available"] = view.available;
    }
    return limit;
}

/// Parses what another router knows of a limit; nothing if a number is missing or out of its range.
std::optional<request_limit_view> parse_view(const Json::Value& limit) {
    const std::optional<double> rate = number_member(limit, "rate");
    const std::optional<double> available = number_member(limit, "available");
    const std::int64_t age_ms = int_member(limit, "age_ms", -1);
    const bool has_rate = limit.isMember("rate");
    const bool is_valid = !has_rate || (rate && available && *rate >= 0 && *rate <= request_limit::max_rate);
    if (!is_valid || age_ms < 0 || age_ms > milliseconds(limit_notices::max_age).count()) {
        return std::nullopt;
    }
    return request_limit_view{rate, milliseconds(age_ms), available.value_or(0)};
}

} // namespace

limit_notices::limit_notices(notice_channel& channel, backend_directory& directory, std::string own_address)
    : channel_(channel), directory_(directory), own_address_(std::move(own_address)) {
    channel_.set_handler(notice_kind, [this](const Json::Value& notice) { return handle_notice(notice); });
}

void limit_notices::note_request(tracked_backend& server) {
    if (!server.limit.is_in_force()) {
        return;
    }
    const auto now = clock::now();
    server.limit.take(now);
    Json::Value notice = make_notice({});
    Json::Value& limit = notice["limits"].append(to_json(server, now));
    limit["taken"] = 1;
    channel_.send(notice, notice_channel::max_peers);
}

bool limit_notices::note_answer(tracked_backend& server, std::optional<double> rate) {
    const auto now = clock::now();
    if (!server.limit.note_answer(rate, now)) {
        return false;
    }
    server.limit.set_share(share_, now);
    Json::Value notice = make_notice({});
    notice["limits"].append(to_json(server, now));
    channel_.send(notice, notice_channel::max_peers);
    return true;
}

void limit_notices::ask_routers() {
    tracked_list servers = servers_to_tell();
    if (servers.empty()) {
        return;
    }
    update_share();
    keep_random(servers, max_limits_per_notice);
    Json::Value notice = make_notice(servers);
    notice["asks"] = true;
    std::vector<std::string> routers = channel_.peers();
    keep_random(routers, max_questions);
    const auto now = clock::now();
    for (const std::string& router : routers) {
        reach_.note_asked(router, now);
        channel_.send_to(router, notice);
    }
}

/// Counts on the part of each rate that this router may use while it reaches only a part of the routers.
void limit_notices::update_share() {
    const auto now = clock::now();
    share_ = share_of_limit(reach_.share(now), 1 + double(channel_.peers().size()));
    for (const auto& each : directory_.all()) {
        each->limit.set_share(share_, now);
    }
}

result<done> limit_notices::handle_notice(const Json::Value& notice) {
    const std::string from = string_member(notice, "from");
    const Json::Value& limits = member(notice, "limits");
    if (from.empty() || !limits.isArray()) {
        return make_failure(errc::malformed, "parse limit notice", from,
                            "field \"from\" is missing, or \"limits\" is no list");
    }
    if (from == own_address_) {
        return done{};
    }
    tracked_list to_tell; // The limits that the sender is behind on come first.
    for (const Json::Value& limit : limits) {
        if (auto server = apply(limit)) {
            to_tell.push_back(std::move(server));
        }
    }
    if (bool_member(notice, "asks")) {
        tracked_list others = servers_to_tell();
        keep_random(others, max_limits_per_notice);
        to_tell.insert(to_tell.end(), others.begin(), others.end());
        to_tell.resize(std::min(to_tell.size(), max_limits_per_notice));
        channel_.send_to(from, make_notice(to_tell));
        return done{};
    }
    reach_.note_answered(from);
    if (!to_tell.empty()) {
        channel_.send_to(from, make_notice(to_tell));
    }
    return done{};
}

/// Applies one limit of a notice. Returns the server if the sender lacks a later statement of it.
std::shared_ptr<tracked_backend> limit_notices::apply(const Json::Value& limit) {
    if (!limit.isObject()) {
        return nullptr;
    }
    const auto tracked = directory_.find(string_member(limit, "server"));
    const std::optional<request_limit_view> view = parse_view(limit);
    const std::int64_t taken = int_member(limit, "taken");
    const bool is_known = tracked != nullptr && tracked->server.started_ms == int_member(limit, "started_ms");
    if (!is_known || !view || taken < 0 || taken > max_taken) {
        return nullptr;
    }
    const auto now = clock::now();
    tracked->limit.set_share(share_, now);
    return tracked->limit.note_view(*view, int(taken), now) ? tracked : nullptr;
}

std::size_t limit_notices::limited_server_count() const {
    const auto servers = directory_.all();
    return std::size_t(std::count_if(servers.begin(), servers.end(),
                                     [](const auto& each) { return each->limit.is_in_force(); }));
}

/// Returns the servers whose limit is in force or has ended lately.
limit_notices::tracked_list limit_notices::servers_to_tell() const {
    const auto now = clock::now();
    tracked_list servers = directory_.all();
    std::erase_if(servers, [&](const auto& each) {
        const auto age = each->limit.age(now);
        return !age || (!each->limit.is_in_force() && *age > ended_retention);
    });
    return servers;
}

Json::Value limit_notices::make_notice(const tracked_list& servers) const {
    const auto now = clock::now();
    Json::Value notice;
    notice["kind"] = notice_kind;
    notice["from"] = own_address_;
    notice["limits"] = Json::Value(Json::arrayValue);
    for (const auto& each : servers) {
        notice["limits"].append(to_json(*each, now));
    }
    return notice;
}

} // namespace eelgrassgw

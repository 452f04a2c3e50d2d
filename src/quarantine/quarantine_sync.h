#pragma once

/// Shares the evidence about parts of requests among all routers, by notices and through the store.

#include "base/event_sink.h"
#include "eelgrassgw/base/hash.h"
#include "eelgrassgw/base/json.h"
#include "net/notice_channel.h"
#include "quarantine/part_quarantine.h"
#include "retries/backoff.h"
#include "store/object_follower.h"
#include "store/store_objects.h"

#include <set>
#include <string>
#include <utility>

namespace eelgrassgw {

/// Sends new evidence to the other routers, and keeps what must outlast the processes in one object of the
/// store. Notices are fast and work while the store is away; the store reaches routers that notices
/// do not, and those that start later. Not thread-safe.
template <class Store>
requires writable_store<Store> && followable_store<Store>
class quarantine_sync {
public:
    using milliseconds = std::chrono::milliseconds;

    /// Time between two rounds. A random time up to the same length is added, so that one router's
    /// write spares the others theirs.
    static constexpr milliseconds round_interval{200};
    /// Time that a watch of the store waits for a change, which is rare.
    static constexpr milliseconds watch_wait{10000};
    static constexpr milliseconds initial_retry_delay{500};
    static constexpr milliseconds max_retry_delay{4000};
    static constexpr const char* notice_kind = "quarantine";
    /// Number of routers that a router which has started asks what is in quarantine.
    static constexpr std::size_t max_asked_routers = 3;
    /// Bytes of evidence in one notice, with room left for its other fields.
    static constexpr std::size_t max_evidence_bytes = notice_channel::max_notice_bytes * 3 / 4;

    /// Uses the object `name` of `kind`. Precondition: the references outlive this object.
    quarantine_sync(Store& store, std::string kind, std::string name, part_quarantine& quarantine,
                    notice_channel& channel, event_sink_function log)
        : store_(store), kind_(std::move(kind)), name_(std::move(name)), quarantine_(quarantine),
          channel_(channel), log_(std::move(log)) {
        channel_.set_handler(notice_kind,
                             [this](const Json::Value& notice) { return handle_notice(notice); });
    }

    /// Sends new evidence to the other routers until the process ends, and asks some of them at first what is
    /// in quarantine. `own_address` is where this router receives notices. It never waits for the store.
    task<void> send_notices(std::string own_address) {
        for (;;) {
            co_await sleep_for(draw_round_time());
            ask_routers(own_address);
            send_in_notices(quarantine_.take_notices(clock_reading::now()));
        }
    }

    /// Writes new evidence to the store until the process ends.
    task<void> update_store() {
        for (;;) {
            co_await sleep_for(draw_round_time());
            const auto update = quarantine_.plan_store_update(stored_, clock_reading::now());
            if (update && !co_await write(*update)) {
                co_await sleep_for(backoff_.next_delay());
            }
        }
    }

    /// Adds the functions that take in the stored object to `callbacks`, for the follower of its kind.
    follower_callbacks follow_with(follower_callbacks callbacks) {
        callbacks.watch_wait = watch_wait;
        callbacks.listed = [this](const object_listing& all, bool) {
            accept_listing(all);
        };
        callbacks.changed = [this](const followed_change& change, bool) {
            if (change.object.name == name_ && change.removed) {
                lift_all();
            } else if (change.object.name == name_) {
                accept(change.object);
            }
        };
        return callbacks;
    }

private:
    static milliseconds draw_round_time() {
        return round_interval + milliseconds(random_below(round_interval.count()));
    }

    /// Asks routers that were not asked before, until enough were.
    void ask_routers(const std::string& own_address) {
        if (asked_routers_.size() >= max_asked_routers) {
            return; // So it is in all rounds but the first ones.
        }
        for (const std::string& router : channel_.peers()) {
            if (asked_routers_.size() >= max_asked_routers) {
                return;
            }
            if (asked_routers_.insert(router).second) {
                Json::Value question;
                question["kind"] = notice_kind;
                question["from"] = own_address;
                question["asks"] = true;
                channel_.send_to(router, question);
            }
        }
    }

    /// Sends evidence in as few notices as it fits into: to one router, or to all if `router` is empty, since
    /// any of them may get the next request with a part.
    void send_in_notices(const evidence_by_part& evidence, const std::string& router = {}) {
        Json::Value parts(Json::objectValue);
        std::size_t bytes = 0;
        for (const auto& [part, known] : evidence) {
            Json::Value entry = to_json(known);
            const std::size_t entry_bytes = part.size() + to_text(entry).size();
            if (!parts.empty() && bytes + entry_bytes > max_evidence_bytes) {
                send_notice(std::exchange(parts, Json::Value(Json::objectValue)), router);
                bytes = 0;
            }
            parts[part] = std::move(entry);
            bytes += entry_bytes;
        }
        if (!parts.empty()) {
            send_notice(std::move(parts), router);
        }
    }

    void send_notice(Json::Value parts, const std::string& router) {
        Json::Value notice;
        notice["kind"] = notice_kind;
        notice["parts"] = std::move(parts);
        if (router.empty()) {
            channel_.send(notice, notice_channel::max_peers);
        } else {
            channel_.send_to(router, notice);
        }
    }

    result<done> handle_notice(const Json::Value& notice) {
        if (bool_member(notice, "asks")) {
            return answer_question(string_member(notice, "from"));
        }
        const auto evidence = parse_evidence(member(notice, "parts"));
        if (!evidence) {
            return evidence.error();
        }
        quarantine_.merge(evidence.value(), clock_reading::now());
        return done{};
    }

    result<done> answer_question(const std::string& router) {
        if (router.empty()) {
            return make_failure(errc::malformed, "parse quarantine notice", "", "field \"from\" is missing");
        }
        send_in_notices(quarantine_.evidence_for_new_router(), router);
        return done{};
    }

    /// An object that the store lacks was lost with an older copy, or never written; this router writes what
    /// it knows again.
    void accept_listing(const object_listing& all) {
        stored_.clear();
        position_ = {};
        for (const followed_object& object : all.objects) {
            if (object.name == name_) {
                accept(object);
            }
        }
    }

    void accept(const followed_object& object) {
        if (object.position.era == position_.era && object.position.revision <= position_.revision) {
            return;
        }
        position_ = object.position;
        auto evidence = parse_evidence(object.content);
        if (!evidence) {
            Json::Value fields;
            fields["error"] = evidence.error().text();
            log_("quarantine_rejected", std::move(fields));
            return;
        }
        stored_ = std::move(evidence.value());
        quarantine_.merge(stored_, clock_reading::now());
    }

    void lift_all() {
        stored_.clear();
        position_ = {};
        quarantine_.clear();
        log_("quarantines_lifted", Json::Value(Json::objectValue));
    }

    task<bool> write(evidence_by_part update) {
        const Json::Value content = to_json(update);
        const object_write written = co_await store_.write(kind_, name_, content, position_.revision);
        if (written.status == object_write::status_kind::unknown) {
            Json::Value fields;
            fields["error"] = written.error;
            log_("quarantine_not_stored", std::move(fields));
            co_return false;
        }
        backoff_.reset();
        accept(written.current);
        co_return true;
    }

    Store& store_;
    std::string kind_;
    std::string name_;
    part_quarantine& quarantine_;
    notice_channel& channel_;
    event_sink_function log_;
    evidence_by_part stored_;             ///< Content of the stored object, as this router knows it.
    std::set<std::string> asked_routers_; ///< Addresses of the routers that were asked after the start.
    store_position position_;             ///< Position of that object; revision 0 if it does not exist.
    backoff backoff_{initial_retry_delay, max_retry_delay};
};

} // namespace eelgrassgw

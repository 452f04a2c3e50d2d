#pragma once

/// Keeps a view of all objects of one kind up to date.

#include "base/event_sink.h"
#include "store/store_objects.h"

#include <algorithm>
#include <functional>
#include <string>

namespace eelgrassgw {

/// What a follower reports. `after_outage`: the store was out of reach until just before, so that entries may
/// have lapsed although their owners live.
struct follower_callbacks {
    std::function<void(const object_listing& all, bool after_outage)> listed;
    std::function<void(const followed_change& change, bool after_outage)> changed;
    event_sink_function log;
};

/// Lists once, then watches; lists again where the store has lost its history. Not thread-safe.
template <followable_store Store>
class object_follower {
public:
    using clock = std::chrono::steady_clock;

    static constexpr std::chrono::milliseconds poll{2000};   ///< Longest wait of one watch.
    static constexpr std::chrono::milliseconds pause{100};   ///< After a failure.
    static constexpr std::chrono::milliseconds gather{100};  ///< After a change, as more may follow.
    static constexpr std::chrono::milliseconds outage{1000}; ///< Silence that counts as an outage.
    static constexpr std::chrono::milliseconds aftermath{
        2000}; ///< Entries come back this long after an outage.

    object_follower(Store& store, std::string kind, follower_callbacks callbacks)
        : store_(store), kind_(std::move(kind)), callbacks_(std::move(callbacks)) {}

    /// Follows until the process ends. Precondition: `store` outlives the task.
    static task<void> follow(Store& store, std::string kind, follower_callbacks callbacks) {
        object_follower follower(store, kind, callbacks);
        co_await follower.run();
    }

private:
    task<void> run() {
        for (;;) {
            const bool ok = need_list_ ? co_await list() : co_await watch();
            if (!ok) {
                co_await sleep_for(pause);
            }
        }
    }

    task<bool> list() {
        auto listing = co_await store_.list(kind_);
        if (!listing) {
            report_failure("list", listing.error().text());
            co_return false;
        }
        note_contact();
        callbacks_.listed(listing.value(), after_outage());
        revision_ = listing.value().revision;
        need_list_ = false;
        co_return true;
    }

    task<bool> watch() {
        auto changes = co_await store_.watch(kind_, revision_, poll);
        if (!changes) {
            report_failure("watch", changes.error().text());
            co_return false;
        }
        if (changes.value().history_lost) {
            need_list_ = true;
            co_return true;
        }
        note_contact();
        for (const followed_change& change : changes.value().changes) {
            callbacks_.changed(change, after_outage());
        }
        revision_ = std::max(revision_, changes.value().revision);
        if (!changes.value().changes.empty()) {
            co_await sleep_for(gather);
        }
        co_return true;
    }

    void note_contact() {
        const auto now = clock::now();
        const bool silent = current_at_ != clock::time_point{} && now - current_at_ > poll + outage;
        if (silent || failing_) {
            outage_ended_at_ = now;
        }
        if (failing_) {
            Json::Value fields;
            fields["kind"] = kind_;
            callbacks_.log("view_regained", std::move(fields));
        }
        failing_ = false;
        current_at_ = now;
    }

    void report_failure(const char* step, const std::string& why) {
        if (!failing_) {
            Json::Value fields;
            fields["kind"] = kind_;
            fields["step"] = step;
            fields["error"] = why;
            callbacks_.log("view_lost", std::move(fields));
        }
        failing_ = true;
    }

    bool after_outage() const {
        return outage_ended_at_ != clock::time_point{} && clock::now() - outage_ended_at_ < aftermath;
    }

    Store& store_;
    std::string kind_;
    follower_callbacks callbacks_;
    std::uint64_t revision_ = 0;
    bool need_list_ = true;
    bool failing_ = false;
    clock::time_point current_at_{};
    clock::time_point outage_ended_at_{};
};

} // namespace eelgrassgw

#pragma once

/// Keeps the newest configuration that any source shows; its revision never goes down.

#include "eelgrassgw/base/log.h"
#include "eelgrassgw/configuration/configuration_store.h"
#include "eelgrassgw/platform/prefix_watcher.h"

#include <functional>
#include <memory>
#include <mutex>

namespace eelgrassgw {

/// Holds the configuration in force. Thread-safe.
class configuration_holder {
public:
    /// Null while none is known.
    std::shared_ptr<const configuration> current() const;

    configuration_revision revision() const;

    /// Takes `document` over where it is valid and newer. Returns whether it was.
    bool offer(const Json::Value& document, const char* source);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const configuration> current_;
};

/// Follows the object API; while that fails, asks peers through `ask_peers`, which offers what they show.
template <object_store Store>
class configuration_follower {
public:
    configuration_follower(Store& store, configuration_holder& holder, std::function<void()> ask_peers)
        : holder_(holder), ask_peers_(std::move(ask_peers)),
          watcher_(
              store, configuration_key, [this](const object_changes& changes) { take(changes); },
              [this](const failure&) { ask_peers_(); }) {}

    bool wait_until_read(std::chrono::milliseconds longest) { return watcher_.wait_until_read(longest); }

private:
    void take(const object_changes& changes) {
        for (const stored_object& object : changes.changed) {
            const result<Json::Value> document = parse_json(object.value);
            if (document) {
                holder_.offer(document.value(), "object API");
            }
        }
    }

    configuration_holder& holder_;
    std::function<void()> ask_peers_;
    prefix_watcher<Store> watcher_;
};

} // namespace eelgrassgw
